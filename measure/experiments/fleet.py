"""A handful of edges and gates in virtual time around the real decisions.

`Node` plays the shells of one host: it routes and retries as an edge and
carries out the commands of its gates. A request visits the services of its
plan one after the other, each hop holding its slot until the next answered.
"""

import random
from dataclasses import dataclass, field

from dragonflyknot.decisions.calls import UpstreamState
from dragonflyknot.decisions.document import Service
from dragonflyknot.decisions.routing import (
    TargetSeen,
)
from experiments.edgecall import EdgeCall
from experiments.gatehost import GateHost
from experiments.policies import Policies, PoolPolicy
from experiments.traffic import Answer, Meter, Request
from experiments.virtual import FakeUpstream, VirtualLoop

LOCAL_S = 0.0002
DATA_CENTER_S = 0.001
REGION_S = 0.008


class Node:
    """Play one host: an edge, and a gate for each service beside it."""

    def __init__(self, place: 'Place', fleet: 'Fleet') -> None:
        """Start without gates."""
        self.place = place
        self.loop = fleet.loop
        self.policies = fleet.policies
        self.rng = fleet.rng
        self.meter = fleet.meter
        self.peers_by_host = fleet.nodes_by_host
        self.gates_by_service: dict[str, GateHost] = {}
        self.budget = fleet.policies.budget()
        self.router = fleet.policies.router(
            place.host, place.data_center, place.region
        )

    def submit(
        self, request: Request, pool: PoolPolicy, answer: Answer
    ) -> EdgeCall:
        """Take a request at this host's edge."""
        call = EdgeCall(self, request, pool, answer)
        self.loop.after(LOCAL_S, call.send)
        return call

    def delay_s(self, other: 'Node') -> float:
        """Return the latency one way."""
        if other.place.host == self.place.host:
            return LOCAL_S
        same = other.place.region == self.place.region
        return DATA_CENTER_S if same else REGION_S


@dataclass(frozen=True, slots=True)
class Place:
    """Say where a host stands."""

    host: str
    data_center: str
    region: str


@dataclass(slots=True)
class Fleet:
    """Hold the nodes and make gates on them."""

    policies: Policies
    rng: random.Random
    loop: VirtualLoop = field(default_factory=VirtualLoop)
    meter: Meter = field(default_factory=Meter)
    nodes_by_host: dict[str, Node] = field(default_factory=dict)

    def add_node(self, place: Place) -> Node:
        """Add a host."""
        node = Node(place, self)
        self.nodes_by_host[place.host] = node
        return node

    def add_gate(
        self, host: str, service: Service, slots: int, announced: int
    ) -> GateHost:
        """Put a warm upstream with its gate beside a host's edge."""
        node = self.nodes_by_host[host]
        gate = self.policies.gate(service)
        upstream = FakeUpstream(self.loop, slots)
        gate_host = GateHost(node, gate, upstream)
        gate_host.announce(announced, UpstreamState.DRAINING)
        gate_host.announce(announced, UpstreamState.READY)
        node.gates_by_service[service.name] = gate_host
        return gate_host

    def gossip(self) -> None:
        """Tell every edge about every gate, now and each second."""
        for node in self.nodes_by_host.values():
            for peer in self.nodes_by_host.values():
                for service, gate in peer.gates_by_service.items():
                    event = TargetSeen(
                        peer.place.host,
                        1,
                        service,
                        peer.place.data_center,
                        peer.place.region,
                        gate.report().state,
                        gate.report(),
                    )
                    node.router.handle(event, self.loop.now)
        self.loop.after(1, self.gossip)

    def link_bytes(self) -> int:
        """Return the bytes that crossed the link between regions."""
        return sum(
            node.router.link_bytes for node in self.nodes_by_host.values()
        )
