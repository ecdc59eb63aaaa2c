"""Chooses the peer that serves a request which this node can't serve.

The load that it answers: most nodes of a data centre are cut off from runners
at once. The few others there must not get the requests of all of them.
"""

from collections.abc import Callable, Collection
import dataclasses
import random

from cardamommill.gateway.nodes import peers


@dataclasses.dataclass(frozen=True, slots=True)
class Requirements:
    """What a peer must meet for a request.

    Attributes:
        config_version: The configuration that admitted the request. A peer with
            an older one might refuse it or serve it by a former route.
        allows: Whether the request may be sent to a data centre.
        excluded: Addresses of the peers that were asked already.
    """

    config_version: int
    allows: Callable[[str], bool]
    excluded: Collection[peers.Address] = ()


def choose(known: peers.Peers, requirements: Requirements,
           chance: random.Random, now_ms: float) -> peers.Peer | None:
    """Returns a peer that may reach runners; None if there is none.

    Peers of this data centre are preferred, as far as there is one for each
    node there that is cut off; beyond that, requests go to remote peers. These
    send messages rarely, so only the peer itself knows its configuration.

    Args:
        known: The peers of this node.
        requirements: What the peer must meet.
        chance: Spreads requests over peers.
        now_ms: The time.
    """
    near, remote, cut_off_count = [], [], 1
    for peer in known.live_peers(now_ms):
        message = peer.last_message
        assert message is not None
        if message.is_cut_off:
            cut_off_count += peer.is_near
        elif (peer.address in requirements.excluded or
              not message.config_version or
              not requirements.allows(message.data_centre)):
            continue
        elif not peer.is_near:
            remote.append(peer)
        elif message.config_version >= requirements.config_version:
            near.append(peer)
    takes_near = chance.random() * cut_off_count < len(near)
    if near and (takes_near or not remote):
        return chance.choice(near)
    return chance.choice(remote) if remote else None
