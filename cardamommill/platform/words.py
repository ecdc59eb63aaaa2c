"""Names that the platform, its clients and its runners use on the wire."""

# Headers. The client's attempt id is what "at most once" is counted by.
ATTEMPT_ID = "X-Cardamommill-Attempt-Id"
DEADLINE_MS = "X-Cardamommill-Deadline-Ms"
EXPECT_INSTANCE = "X-Cardamommill-Expect-Instance"
INSTANCE_ID = "X-Cardamommill-Instance-Id"
LAST_EVENT_ID = "Last-Event-Id"
MODEL = "X-Cardamommill-Model"
NOT_EXECUTED = "X-Cardamommill-Not-Executed"
# "R,W,S": requests that run, that wait, and places, at the runner.
SERVER_LOAD = "X-Cardamommill-Server-Load"
REQUEST_PRIORITY = "X-Cardamommill-Request-Priority"
SEAL = "X-Cardamommill-Response-Seal"
TENANT = "X-Cardamommill-Tenant"
# "IN,OUT": tokens of the prompt, and the most that may be written.
TOKEN_COUNTS = "X-Cardamommill-Token-Counts"
LENGTH_HINT = "X-Cardamommill-Length-Hint"
# In answers of the store: rises by one each time it is restored.
STORE_ERA = "Store-Era"
# Requests a second that a runner takes from all nodes, while it names it.
SERVER_LIMIT = "Server-Limit"
# In all answers of a runner that leaves.
SERVER_LEAVING = "Server-Leaving"
# In a refusal of a runner: for how many seconds it wants nothing of this node.
RETRY_AFTER = "Retry-After"
# The runner at fault in a 421 or 503 of a group's head.
AT_SERVER = "At-Server"

READY_PATH = "/cardamommill/readyz"
ORDER_PATH = "/cardamommill/order"
REPORT_PATH = "/cardamommill/report"
ROWS_GET_PATH = "/cardamommill/rows-get"
ROWS_FEED_PATH = "/cardamommill/rows-feed"
ROWS_TX_PATH = "/cardamommill/rows-tx"

SERVERS_TABLE = "servers"
OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
NODES_TABLE = "nodes"

# Kinds of routes.
IDEMPOTENT = "idempotent"
NON_IDEMPOTENT = "non_idempotent"
STREAMING = "streaming"

# States of a runner's entry.
READY = "ready"
DRAINING = "draining"
