"""What operators change row by row, with the count that tells nodes of it."""

from returns import result

from cardamommill import applying, exceptions, store

ATTEMPTS = 8

Changed = result.Result[bool, exceptions.CardamommillError]


def set_row(tables: applying.SyncStore, key: store.Key, value: str | None,
            index_row: str) -> Changed:
    """Writes or deletes a row and raises the count of its index row.

    Nodes read the index every second and the rows only when it has moved; a
    row without its count would be seen by chance only.

    Args:
        tables: The platform's tables.
        key: The row.
        value: Its JSON text; None to delete it.
        index_row: The row of the table ``index`` that counts its changes.

    Returns:
        Whether anything had to be changed; or `StoreError`.
    """
    index_key = store.Key(store.INDEX, index_row)
    doubtful = False
    try:
        for _ in range(ATTEMPTS):
            row, index = tables.read((key, index_key))
            if (row.value if row.version else None) == value:
                return result.Success(False)
            answer = tables.transact(
                (store.Condition(key, row.version),
                 store.Condition(index_key, index.version)), (store.Write(
                     key, value), store.Write(index_key, _raised(index))))
            if answer.outcome is store.TransactOutcome.COMMITTED:
                return result.Success(True)
            if answer.outcome is store.TransactOutcome.NOT_RUN:
                break
            # After a lost answer the next round reads what is there; should
            # the write still be on its way, the conditions of the repeated
            # one let only one of the two through.
            doubtful |= answer.outcome is store.TransactOutcome.UNKNOWN
    except (exceptions.StoreError, ValueError) as error:
        return _failed(key, f"not known whether it was changed: {error}")
    if doubtful:
        # A write whose answer was lost may still take effect.
        return _failed(
            key, "not known whether it was changed: answers of the "
            "table were lost")
    return _failed(key, "the table refused it; nothing was changed")


def _failed(key: store.Key, message: str) -> Changed:
    return result.Failure(
        exceptions.StoreError(message, step="change", peer=str(key)))


def _raised(index: store.Row) -> str:
    count = (store.decode(store.ChangeCount, index.value).count
             if index.version else 0)
    return store.encode(store.ChangeCount(count + 1))
