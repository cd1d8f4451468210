"""Random programs for load runs, drawn from the distributions of a workload file."""

from __future__ import annotations

import configparser
import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import TypeAlias

from .errors import SettingsError

NOMINAL_RATE_PLANS = 2000
MAX_PROGRAM_DEPTH = 2


@dataclass(frozen=True, slots=True)
class ModelTurn:
    """A model call: number of tokens of its prompt and of its answer."""

    prompt_tokens: int
    output_tokens: int


@dataclass(frozen=True, slots=True)
class ToolTurn:
    """A call of a tool or plain service."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class PauseTurn:
    """A pause of the caller between two calls."""

    seconds: float


@dataclass(frozen=True, slots=True)
class SubAgentTurn:
    """A program that this one starts and waits for."""

    plan: ProgramPlan


Turn: TypeAlias = ModelTurn | ToolTurn | PauseTurn | SubAgentTurn


@dataclass(frozen=True, slots=True)
class ProgramPlan:
    """What one program does: its agent, user and model, and its turns in order."""

    agent: str
    user: str
    model: str
    turns: tuple[Turn, ...]

    def model_turns(self) -> Iterator[ModelTurn]:
        """Yield the model calls of the program and of its sub-agents."""
        for turn in self.turns:
            match turn:
                case ModelTurn():
                    yield turn
                case SubAgentTurn(plan):
                    yield from plan.model_turns()


@dataclass(frozen=True, slots=True)
class Arrival:
    """A program and its intended start, in seconds after the start of the run."""

    at_s: float
    plan: ProgramPlan


@dataclass(frozen=True, slots=True)
class AgentMix:
    """Distribution of the programs of one agent.

    Ranges are written ``a to b`` and drawn from uniformly.

    Attributes:
        agent: Name of the agent.
        share: Weight of the agent when a program's agent is drawn.
        model: Endpoint of its model calls.
        mean_turns: Mean number of model calls (geometric distribution).
        max_turns: Most model calls.
        first_tokens: Range of the first prompt's length in tokens.
        prompt_tokens: Range of the other prompts' length.
        output_tokens: Range of the answers' length.
        pause_s: Median pause between two model calls (log-normal distribution).
        pause_sigma: Standard deviation of the pause's logarithm.
        tool: Endpoint of its tool calls.
        tool_share: Probability of a tool call between two model calls.
        sub_agent: Agent of its sub-agents.
        sub_agent_share: Probability of a sub-agent between two model calls.
    """

    agent: str
    share: float
    model: str
    mean_turns: float
    max_turns: int
    first_tokens: tuple[int, int]
    prompt_tokens: tuple[int, int]
    output_tokens: tuple[int, int]
    pause_s: float
    pause_sigma: float
    tool: str = ""
    tool_share: float = 0.0
    sub_agent: str = ""
    sub_agent_share: float = 0.0


@dataclass(frozen=True, slots=True)
class EngineSpeed:
    """Speed of the deployment's engines; see :mod:`carobspur_standins.batch`."""

    engines: int
    batch: int
    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    batch_slowdown: float = 0.0

    def seconds(self, turn: ModelTurn) -> float:
        """Return the engine time of a call whose history is in the cache.

        Assumes a full batch: its calls decode at once and slow each other down.
        """
        slowdown = 1 + self.batch_slowdown * (self.batch - 1)
        decode_s = turn.output_tokens * slowdown / self.decode_tokens_per_s
        return turn.prompt_tokens / self.prefill_tokens_per_s + decode_s / self.batch


@dataclass(frozen=True, slots=True)
class Workload:
    """Distribution of the programs of one organisation.

    Attributes:
        organisation: Name of the organisation.
        users: Number of users; programs are drawn evenly among them.
        patience_s: Seconds for which a caller retries a refused program.
        mixes: Distribution of each agent's programs, by agent.
        speed: Speed of the engines; determines the nominal rate.
    """

    organisation: str
    users: int
    patience_s: float
    speed: EngineSpeed
    mixes: dict[str, AgentMix] = field(default_factory=dict)

    @classmethod
    def read(cls, path: str | Path) -> Workload:
        """Read an INI file; sections ``[load]``, ``[engines]`` and ``[agent NAME]``.

        Raises:
            SettingsError: The file cannot be read, or is invalid.
        """
        parser = configparser.ConfigParser(interpolation=None)
        try:
            parser.read_string(Path(path).read_text(encoding="utf-8"))
            return cls._parse(parser)
        except (OSError, ValueError, KeyError, configparser.Error) as error:
            raise SettingsError(f"{path}: {error!r}") from error

    @classmethod
    def _parse(cls, parser: configparser.ConfigParser) -> Workload:
        mixes = {}
        for name in parser.sections():
            kind, _, agent = name.partition(" ")
            if kind == "agent":
                mixes[agent] = _parse_mix(agent, parser[name])
        load, engines = parser["load"], parser["engines"]
        speed = EngineSpeed(
            engines=engines.getint("engines"),
            batch=engines.getint("batch"),
            prefill_tokens_per_s=engines.getfloat("prefill_tokens_per_s"),
            decode_tokens_per_s=engines.getfloat("decode_tokens_per_s"),
            batch_slowdown=engines.getfloat("batch_slowdown"),
        )
        return cls(
            load["organisation"],
            load.getint("users"),
            load.getfloat("patience_s"),
            speed,
            mixes,
        )

    def draw_plan(self, rng: random.Random) -> ProgramPlan:
        """Draw one random program."""
        mixes = list(self.mixes.values())
        [mix] = rng.choices(mixes, weights=[item.share for item in mixes])
        user = f"user-{rng.randrange(self.users)}"
        return self._draw_program(rng, mix, user, depth=1)

    def arrivals(self, *, seed: int, rate: float, duration_s: float) -> list[Arrival]:
        """Draw the programs of a run, a Poisson process.

        Args:
            seed: Seed of the programs and their starts.
            rate: Mean number of programs that start per second.
            duration_s: Seconds in which programs start.
        """
        rng = random.Random(seed)
        arrivals = []
        at_s = rng.expovariate(rate)
        while at_s < duration_s:
            arrivals.append(Arrival(at_s, self.draw_plan(rng)))
            at_s += rng.expovariate(rate)
        return arrivals

    def nominal_rate(self, *, seed: int = 0) -> float:
        """Return the programs per second that fully use all engines (load 1.0).

        The estimate is a mean over ``NOMINAL_RATE_PLANS`` random programs.
        """
        rng = random.Random(seed)
        plans = [self.draw_plan(rng) for _ in range(NOMINAL_RATE_PLANS)]
        turns = [turn for plan in plans for turn in plan.model_turns()]
        total_s = sum(self.speed.seconds(turn) for turn in turns)
        return self.speed.engines * len(plans) / total_s

    def _draw_program(
        self, rng: random.Random, mix: AgentMix, user: str, *, depth: int
    ) -> ProgramPlan:
        turns: list[Turn] = []
        call_count = _geometric(rng, mix.mean_turns, mix.max_turns)
        for number in range(call_count):
            tokens = mix.prompt_tokens if number else mix.first_tokens
            output = rng.randint(*mix.output_tokens)
            turns.append(ModelTurn(rng.randint(*tokens), output))
            if number + 1 < call_count:
                turns.extend(self._draw_between_calls(rng, mix, user, depth))
        return ProgramPlan(mix.agent, user, mix.model, tuple(turns))

    def _draw_between_calls(
        self, rng: random.Random, mix: AgentMix, user: str, depth: int
    ) -> Iterator[Turn]:
        """Draw the turns between two model calls; the last one is a pause."""
        if rng.random() < mix.tool_share:
            yield ToolTurn(mix.tool)
        if depth < MAX_PROGRAM_DEPTH and rng.random() < mix.sub_agent_share:
            sub_agent = self.mixes[mix.sub_agent]
            yield SubAgentTurn(
                self._draw_program(rng, sub_agent, user, depth=depth + 1)
            )
        yield PauseTurn(rng.lognormvariate(math.log(mix.pause_s), mix.pause_sigma))


def _parse_mix(agent: str, section: configparser.SectionProxy) -> AgentMix:
    return AgentMix(
        agent=agent,
        share=section.getfloat("share"),
        model=section["model"],
        mean_turns=section.getfloat("mean_turns"),
        max_turns=section.getint("max_turns"),
        first_tokens=_parse_range(section["first_tokens"]),
        prompt_tokens=_parse_range(section["prompt_tokens"]),
        output_tokens=_parse_range(section["output_tokens"]),
        pause_s=section.getfloat("pause_s"),
        pause_sigma=section.getfloat("pause_sigma"),
        tool=section.get("tool", ""),
        tool_share=section.getfloat("tool_share", 0.0),
        sub_agent=section.get("sub_agent", ""),
        sub_agent_share=section.getfloat("sub_agent_share", 0.0),
    )


def _parse_range(text: str) -> tuple[int, int]:
    low, high = text.split("to")
    return int(low), int(high)


def _geometric(rng: random.Random, mean: float, maximum: int) -> int:
    """Draw from a geometric distribution from 1, cut off at a maximum."""
    if mean <= 1:
        return 1
    end_probability = 1 / mean
    drawn = 1 + int(math.log(1 - rng.random()) / math.log(1 - end_probability))
    return min(drawn, maximum)
