"""The rate machines of one daemon, with a clock of its own."""

from typing import TYPE_CHECKING

from dragonflyknot.decisions.document import Configuration
from dragonflyknot.decisions.grants import GrantAnswer, GrantRequest
from dragonflyknot.decisions.leasemessages import (
    AnswerWitness,
    AskWitness,
    DeleteHeartbeat,
    LayoutInstalled,
    LeaseEvent,
    LeasesReleased,
    LeaseTicked,
    Nudge,
    ReadRows,
    WitnessAsked,
    WriteHeartbeat,
    WriteShard,
)
from dragonflyknot.decisions.leases import LeaseManager
from dragonflyknot.decisions.placement import Candidate
from dragonflyknot.decisions.quota import Quota
from dragonflyknot.decisions.ratemessages import (
    Admit,
    AnswerGrant,
    AskGrant,
    ConfigurationInstalled,
    GrantRequested,
    HoldersChanged,
    LayoutConfirmed,
    LeaseExtended,
    RateEvent,
    RefuseRate,
    ShardGained,
    ShardLost,
    Ticked,
)

if TYPE_CHECKING:
    from experiments.ratefleet import RateFleet

LEASE_TICK_S = 0.1


class FleetDaemon:
    """Run the rate machines of one daemon."""

    def __init__(
        self,
        fleet: 'RateFleet',
        candidate: Candidate,
        incarnation: int,
        offset_s: float,
    ) -> None:
        self.fleet = fleet
        self.candidate = candidate
        self.offset_s = offset_s
        self.alive = True
        self.stopping = False
        self.paused_until = float(0)
        self.usable_until = float(0)
        self.quota = Quota(
            candidate.host,
            incarnation,
            candidate.data_center,
            candidate.region,
            fleet.quota_settings,
        )
        self.lease_manager = LeaseManager(candidate, fleet.lease_settings)

    def clock(self) -> float:
        """Return the monotonic clock of this daemon."""
        return self.fleet.now + self.offset_s

    def start(self) -> None:
        """Begin to tick."""
        self.install(self.fleet.configuration)
        self._tick_rates()
        self._tick_leases()

    def install(self, configuration: Configuration) -> None:
        """Put a revision in force at this daemon."""
        self.rate(ConfigurationInstalled(configuration))
        layout = self.quota.layout
        assert layout is not None
        number = configuration.revision.number
        self.lease(LayoutInstalled(number, layout.digest))

    def rate(self, event: RateEvent) -> None:
        """Feed the quota and carry out its commands."""
        for command in self.quota.handle(event, self.clock()):
            match command:
                case Admit(request_id, spent):
                    self.fleet.admit(self, request_id, spent)
                case RefuseRate(request_id):
                    self.fleet.refuse(request_id)
                case AskGrant(host, request):
                    self.fleet.ask(self, host, request)
                case AnswerGrant():
                    raise AssertionError('answers are handled by their asker')

    def answer(self, request: GrantRequest) -> GrantAnswer:
        """Answer another daemon's request for tokens."""
        command = self.quota.handle(GrantRequested(request), self.clock())[0]
        assert isinstance(command, AnswerGrant)
        return command.answer

    def lease(self, event: LeaseEvent) -> None:
        """Feed the lease manager and carry out its commands."""
        for command in self.lease_manager.handle(event, self.clock()):
            match command:
                case ReadRows(asked_at):
                    self.fleet.read(self, asked_at)
                case WriteHeartbeat() | WriteShard() | DeleteHeartbeat():
                    self.fleet.write(self, command)
                case AskWitness():
                    self.fleet.ask_witness(self, command)
                case Nudge(host):
                    self.fleet.nudge(self, host)
                case LeaseExtended(until):
                    self.usable_until = until
                    self.rate(command)
                case (
                    ShardGained()
                    | ShardLost()
                    | LayoutConfirmed()
                    | HoldersChanged()
                ):
                    self.rate(command)
                case LeasesReleased():
                    self.alive = False
                case AnswerWitness():
                    raise AssertionError('answers are handled by their asker')

    def answer_witness(self, holder: str) -> AnswerWitness:
        """Answer another daemon's request for a short lease."""
        commands = self.lease_manager.handle(WitnessAsked(holder), self.clock())
        command = commands[0]
        assert isinstance(command, AnswerWitness)
        return command

    def _tick_rates(self) -> None:
        self.rate(Ticked())
        self.fleet.at_daemon(self, self.quota.next_tick_s(), self._tick_rates)

    def _tick_leases(self) -> None:
        self.lease(LeaseTicked())
        self.fleet.at_daemon(self, LEASE_TICK_S, self._tick_leases)
