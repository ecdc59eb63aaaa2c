"""Names of headers, paths, tables and states that the platform defines."""

# Headers. The caller chooses the attempt id and the runner's answer repeats it;
# "at most once" holds per attempt id.
ATTEMPT_ID = "X-Cardamommill-Attempt-Id"
DEADLINE_MS = "X-Cardamommill-Deadline-Ms"
# The id of the runner that a request is for, and of the one that received it.
# An "instance" keeps its id when its runner restarts; see
# `model.Runner.instance`.
EXPECT_INSTANCE = "X-Cardamommill-Expect-Instance"
INSTANCE_ID = "X-Cardamommill-Instance-Id"
LAST_EVENT_ID = "Last-Event-Id"
MODEL = "X-Cardamommill-Model"
# In a refusal: the request was not executed.
NOT_EXECUTED = "X-Cardamommill-Not-Executed"
# "R,W,S": running requests, waiting requests and slots of the runner.
SERVER_LOAD = "X-Cardamommill-Server-Load"
REQUEST_PRIORITY = "X-Cardamommill-Request-Priority"
# A 2xx without it is not accepted as the answer of a runner.
RESPONSE_SEAL = "X-Cardamommill-Response-Seal"
TENANT = "X-Cardamommill-Tenant"
# "IN,OUT": tokens of the prompt, and the most tokens that the answer may have.
TOKEN_COUNTS = "X-Cardamommill-Token-Counts"
# "ID:TOKENS,...": the parts of the prompt, in order; the last is the request's
# own or its session's.
PROMPT_PREFIX = "X-Cardamommill-Prompt-Prefix"
# In a runner's answers: for how much longer the runner is cold.
COLD_MS = "X-Cardamommill-Cold-Ms"
# How many tokens the caller expects the answer to have.
LENGTH_HINT = "X-Cardamommill-Length-Hint"
# In the store's answers: rises by one each time the store is restored.
STORE_ERA = "Store-Era"
# Requests per second that a runner takes from all nodes together; the limit
# holds for as long as its answers carry the header.
SERVER_LIMIT = "Server-Limit"
# In all answers of a runner that is leaving.
SERVER_LEAVING = "Server-Leaving"
# In a runner's refusal: for how many seconds this node must send it nothing.
RETRY_AFTER = "Retry-After"
# In a 421 or 503 from a group's head: the runner at fault.
AT_SERVER = "At-Server"

READY_PATH = "/cardamommill/readyz"
ORDER_PATH = "/cardamommill/order"
REPORT_PATH = "/cardamommill/report"
ROWS_GET_PATH = "/cardamommill/rows-get"
ROWS_FEED_PATH = "/cardamommill/rows-feed"
ROWS_TX_PATH = "/cardamommill/rows-tx"

# The runner list; the platform calls a runner a server here and in headers.
SERVERS_TABLE = "servers"
OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
# Rows of the operator's table with this prefix name a data centre whose runners
# must get nothing more.
EVACUATION_PREFIX = "evacuate/"
NODES_TABLE = "nodes"
# Has one row, with all decisions about requests that crash runners.
QUARANTINE_TABLE = "quarantine"
QUARANTINE_KEY = "requests"

# Kinds of routes.
IDEMPOTENT = "idempotent"
NON_IDEMPOTENT = "non_idempotent"
STREAMING = "streaming"

# States of a runner's entry.
READY = "ready"
DRAINING = "draining"
