"""Number the successive owners of a backend server.

An epoch is a fencing token. A claim on the log advances to the next multiple of
`INTERIM_EPOCHS`; the numbers between two claims are for peers that take over while the
log is down, so that any later claim on the log is higher than all of them.
"""

from spoolcrank.ids import Epoch

INTERIM_EPOCHS = 1024


def next_claim(epoch: Epoch) -> Epoch:
    """Return the epoch of the next claim on the log after `epoch`."""
    return Epoch((epoch // INTERIM_EPOCHS + 1) * INTERIM_EPOCHS)


def next_interim(epoch: Epoch) -> Epoch:
    """Return the epoch that a peer uses after `epoch` when it takes over without the log."""
    return Epoch(epoch + 1)


def claim_of(epoch: Epoch) -> Epoch:
    """Return the epoch of the claim on the log that `epoch` follows or equals."""
    return Epoch(epoch // INTERIM_EPOCHS * INTERIM_EPOCHS)
