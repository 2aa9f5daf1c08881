"""Call peers by host name, with addresses from the directory."""

from result import Ok

from dragonflyknot.decisions import grants, ledger
from dragonflyknot.decisions.calls import Attempt
from dragonflyknot.decisions.leasemessages import AnswerWitness
from dragonflyknot.peers.controlclient import ControlClient
from dragonflyknot.peers.directory import Directory

RESOLVE_TIMEOUT_S = 0.5
RESOLVE_MAX_ATTEMPTS = 3
GRANT_TIMEOUT_S = 0.5
WITNESS_TIMEOUT_S = 0.5


class PeerCalls:
    """Calls to gates, shard holders and witnesses by host."""

    def __init__(self, client: ControlClient, directory: Directory) -> None:
        """Use a control client and a directory."""
        self._client = client
        self._directory = directory

    async def resolve(self, attempt: Attempt) -> ledger.Resolved:
        """Ask a gate for the state of an attempt; unknown without an answer.

        After a timeout the client opens a new channel for the next call.
        """
        attempts_made = 0
        while attempts_made < RESOLVE_MAX_ATTEMPTS:
            attempts_made += 1
            address = self._directory.address(attempt.host)
            if address is None:
                break
            match await self._client.resolve(
                address.control,
                attempt.attempt_id,
                attempt.incarnation,
                RESOLVE_TIMEOUT_S,
            ):
                case Ok(resolved):
                    return resolved
        return ledger.ResolvedUnknown()

    async def ask(
        self, host: str, request: grants.GrantRequest
    ) -> grants.GrantAnswer | None:
        """Ask a shard holder for tokens; return None without an answer."""
        address = self._directory.address(host)
        if address is None:
            return None
        answer = await self._client.ask_grant(
            address.control, request, GRANT_TIMEOUT_S
        )
        return answer.ok()

    async def ask_witness(self, host: str, holder: str) -> AnswerWitness | None:
        """Ask a witness for a short lease; return None without an answer."""
        address = self._directory.address(host)
        if address is None:
            return None
        answer = await self._client.ask_witness(
            address.control, holder, WITNESS_TIMEOUT_S
        )
        return answer.ok()

    async def nudge(self, host: str) -> None:
        """Notify a daemon of changed lease rows; ignore a lost notice."""
        address = self._directory.address(host)
        if address is not None:
            await self._client.nudge(address.control, WITNESS_TIMEOUT_S)
