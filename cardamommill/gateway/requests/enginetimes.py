"""Durations by the cost model of an inference engine."""

from cardamommill.domain import model


def pass_ms(engine: model.Engine, running: int, pace: float) -> float:
    """Returns the duration of a pass that processes no prompts.

    A pass consists of `engine.stride` decoding steps. At its end, each running
    request gets one event with that many tokens.

    Args:
        engine: The engine's cost model.
        running: The number of requests that run.
        pace: Factor on all durations.
    """
    context = engine.usual_prompt_tokens + engine.usual_answer_tokens / 2
    step_ms = engine.step_ms + running * (
        engine.per_sequence_ms + engine.context_per_k_ms * context / 1000)
    return engine.stride * step_ms * pace


def max_pass_ms(engine: model.Engine, pace: float) -> float:
    """Returns the duration of a pass with full prompt chunks in each step."""
    prefill_time_ms = prefill_ms(engine, engine.chunk_tokens, pace)
    return pass_ms(engine, engine.slots, pace) + engine.stride * prefill_time_ms


def prefill_ms(engine: model.Engine, tokens: float, pace: float) -> float:
    """Returns the time to process a prompt.

    One part grows with the tokens; the other, for attention, grows with the
    pairs of tokens, which the engine counts in millions.
    """
    token_pairs_m = tokens * tokens / 2 / 1e6
    return (tokens / engine.read_tokens_per_ms +
            token_pairs_m * engine.pairs_per_m_ms) * pace


def mean_pass_ms(engine: model.Engine, running: int, pace: float) -> float:
    """Returns the mean duration of a pass, with the prompts of new requests.

    Args:
        engine: The engine's cost model.
        running: The number of requests that run.
        pace: Factor on all durations.
    """
    # Processing the prompt of each running request delays the others: events
    # came every 58 ms where a pass alone takes 45 ms.
    passes = max(1.0, engine.usual_answer_tokens / engine.stride)
    prefill_time_ms = running * prefill_ms(engine, engine.usual_prompt_tokens,
                                           pace)
    return pass_ms(engine, running, pace) + prefill_time_ms / passes
