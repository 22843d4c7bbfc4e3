package lupinwood.processing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import lupinwood.processing.SimulatedExecutor.Phase;
import org.junit.jupiter.api.Test;

/**
 * Tries every order of steps of a node, its executor and their connection, up to a few requests,
 * connections and queries, and checks that no request with an effect is started twice, that no
 * reply reaches a run twice, and that every request ends.
 *
 * <p>Guards against commands that are sent again although the executor read them: a run that has
 * just ended would run twice, and a run that makes its next call would take the reply to the last
 * one for the reply to that.
 */
final class ExecutorRecoveryTest {
    /**
     * How much of everything happens in one search.
     *
     * @param endsEarly whether requests are answered without a result and clients leave
     */
    private record Bounds(
            int requests, int calls, int connections, int queries, boolean endsEarly) {}

    /** After so many rounds without a disruption every request has ended. */
    private static final int MAX_ROUNDS = 10;

    /** One step that is possible now. */
    private record Step(String name, Runnable action) {}

    /** The steps so far, by their position among those that were possible. */
    private record Path(Path before, int choice) {
        List<Integer> choices() {
            Deque<Integer> choices = new ArrayDeque<>();
            for (Path path = this; path.before != null; path = path.before) {
                choices.addFirst(path.choice);
            }
            return List.copyOf(choices);
        }
    }

    /** One order of steps, played from the start. */
    private static final class Play {
        final SimulatedExecutor executor = new SimulatedExecutor();
        final List<String> names = new ArrayList<>();
        private final Bounds bounds;
        private final String className;
        private final List<AttemptId> started = new ArrayList<>();
        private int connections = 1;
        private int queries;

        Play(Bounds bounds, String className) {
            this.bounds = bounds;
            this.className = className;
        }

        /** Takes the step at this position among those that are possible. */
        void take(int choice) {
            Step step = possibleSteps().get(choice);
            names.add(step.name());
            step.action().run();
        }

        List<Step> possibleSteps() {
            List<Step> steps = new ArrayList<>();
            if (started.size() < bounds.requests()) {
                steps.add(new Step("start", this::start));
            }
            if (executor.hasCommand()) {
                steps.add(new Step("executor reads", executor::readCommand));
            }
            if (executor.hasMessage()) {
                steps.add(new Step("node reads", executor::deliver));
            }
            if (queries < bounds.queries() && executor.isConnected()) {
                steps.add(new Step("query", this::query));
            }
            if (!executor.isConnected()) {
                steps.add(new Step("connect", executor::connect));
            } else if (connections < bounds.connections()) {
                steps.add(new Step("break", this::breakConnection));
            }
            if (executor.timers.size() > 0 && started.stream().noneMatch(executor::isOpen)) {
                steps.add(new Step("clients no longer wait", executor::fireTimer));
            }
            started.forEach(id -> addStepsOf(id, steps));
            return steps;
        }

        private void addStepsOf(AttemptId id, List<Step> steps) {
            if (executor.isOpen(id) && executor.isCallPending(id)) {
                steps.add(new Step("reply", () -> executor.reply(id)));
            }
            if (bounds.endsEarly() && executor.isOpen(id)) {
                steps.add(new Step("fail", () -> executor.fail(id)));
                steps.add(new Step("abort", () -> executor.abort(id)));
            }
            if (mayEnd(id)) {
                steps.add(new Step("end", () -> executor.end(id)));
            }
            if (executor.phase(id) == Phase.WORKING && !executor.isOver(id)) {
                if (executor.calls(id) < bounds.calls()) {
                    steps.add(new Step("call", () -> executor.call(id)));
                }
            }
        }

        private void start() {
            started.add(executor.start(started.size() + 1, className));
        }

        private void query() {
            queries++;
            executor.query();
        }

        private void breakConnection() {
            connections++;
            executor.breakConnection();
        }

        String state() {
            return executor.state() + connections + queries + started.size();
        }

        /** Lets everything go on without a further disruption until every request has ended. */
        void finish() {
            if (!executor.isConnected()) {
                executor.connect();
            }
            for (int round = 0; round < MAX_ROUNDS && executor.requests.size() > 0; round++) {
                executor.exchangeAll();
                started.forEach(this::goOn);
                executor.query();
                executor.exchangeAll();
                if (round
                        > bounds.calls()
                                + 1) { // whoever has no result by now is answered without one
                    started.stream().filter(executor::isOpen).forEach(executor::fail);
                    passClientTimeout();
                }
            }
        }

        private void passClientTimeout() {
            if (executor.timers.size() > 0) {
                executor.fireTimer();
            } else {
                executor.passClientTimeout();
            }
        }

        private void goOn(AttemptId id) {
            if (mayEnd(id)) {
                executor.end(id);
            } else if (executor.isOpen(id) && executor.isCallPending(id)) {
                executor.reply(id);
            }
        }

        /** A run ends where it works, or at a call if its request is over. */
        private boolean mayEnd(AttemptId id) {
            return executor.phase(id) == Phase.WORKING
                    || (executor.phase(id) == Phase.AT_CALL && executor.isOver(id));
        }
    }

    private static Play replay(Bounds bounds, String className, Path path) {
        Play play = new Play(bounds, className);
        path.choices().forEach(play::take);
        return play;
    }

    /** Visits every state that can be reached, each by a shortest order of steps. */
    private static int search(Bounds bounds, String className) {
        Set<String> visited = new HashSet<>();
        Deque<Path> open = new ArrayDeque<>(List.of(new Path(null, 0)));
        BiConsumer<Play, Path> visit =
                (play, path) -> {
                    assertThat(play.executor.violations).as("%s", play.names).isEmpty();
                    if (visited.add(play.state())) {
                        open.add(path);
                    }
                };
        while (!open.isEmpty()) {
            Path path = open.remove();
            Play reached = replay(bounds, className, path);
            int choices = reached.possibleSteps().size();
            reached.finish();
            assertThat(reached.executor.violations).as("%s, finished", reached.names).isEmpty();
            assertThat(reached.executor.requests.size())
                    .as("requests that never end after %s", reached.names)
                    .isZero();
            for (int choice = 0; choice < choices; choice++) {
                Path next = new Path(path, choice);
                visit.accept(replay(bounds, className, next), next);
            }
        }
        return visited.size();
    }

    @Test
    void noOrderRunsARequestWithAnEffectTwiceOrGivesAReplyTwice() {
        int states = search(new Bounds(1, 2, 3, 2, false), "effect");
        assertThat(states).isGreaterThan(1000);
    }

    @Test
    void noOrderOfTwoRequestsRunsOneTwice() {
        int states = search(new Bounds(2, 0, 3, 2, false), "token");
        assertThat(states).isGreaterThan(1000);
    }

    @Test
    void noOrderWithRequestsThatEndEarlyRunsOneTwiceOrGivesAReplyTwice() {
        int states = search(new Bounds(1, 2, 3, 1, true), "effect");
        assertThat(states).isGreaterThan(1000);
    }

    @Test
    void noOrderOfTwoRequestsThatEndEarlyRunsOneTwice() {
        int states = search(new Bounds(2, 0, 2, 1, true), "token");
        assertThat(states).isGreaterThan(1000);
    }
}
