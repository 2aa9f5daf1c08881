"""Call peers by host where only the directory knows their addresses."""

from result import Ok

from dragonflyknot.decisions import grants, ledger
from dragonflyknot.decisions.calls import Attempt
from dragonflyknot.decisions.leasemessages import AnswerWitness
from dragonflyknot.peers.controlclient import ControlClient
from dragonflyknot.peers.directory import Directory

RESOLVE_TIMEOUT_S = 0.5
RESOLVE_TRIES = 3
GRANT_TIMEOUT_S = 0.5
WITNESS_TIMEOUT_S = 0.5


class PeerCalls:
    """Ask gates and holders by host."""

    def __init__(self, client: ControlClient, directory: Directory) -> None:
        """Keep the client and the directory."""
        self._client = client
        self._directory = directory

    async def resolve(self, attempt: Attempt) -> ledger.Resolved:
        """Ask a gate what became of an attempt; unknown if it is silent.

        A channel that stays silent is replaced before the next try.
        """
        tries = 0
        while tries < RESOLVE_TRIES:
            tries += 1
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
        """Ask a holder for tokens; none without an answer in time."""
        address = self._directory.address(host)
        if address is None:
            return None
        answer = await self._client.ask_grant(
            address.control, request, GRANT_TIMEOUT_S
        )
        return answer.ok()

    async def ask_witness(self, host: str, holder: str) -> AnswerWitness | None:
        """Ask a witness for a short lease; none without an answer in time."""
        address = self._directory.address(host)
        if address is None:
            return None
        answer = await self._client.ask_witness(
            address.control, holder, WITNESS_TIMEOUT_S
        )
        return answer.ok()

    async def nudge(self, host: str) -> None:
        """Tell a daemon to read the lease rows; it may get lost."""
        address = self._directory.address(host)
        if address is not None:
            await self._client.nudge(address.control, WITNESS_TIMEOUT_S)
