package lupinwood.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against a heap full of timers: each request had one for its deadline, and each idempotent
 * one another for the end of its window, and both held the request until then although it had ended
 * at once.
 */
final class TimersOfEndedRequestsTest {
    private static final int REQUESTS = 500;
    private final RecordingServer server = new RecordingServer().start();
    private final int timersBefore = server.policy.timerCount();

    private void admitAndWithdraw(int classIndex) {
        for (int i = 0; i < REQUESTS; i++) {
            server.admitUndecided(classIndex).onClientGone();
        }
        server.policy.decide();
    }

    @Test
    void withdrawnSafeRequestsLeaveNoTimers() {
        admitAndWithdraw(RecordingServer.SAFE);
        assertThat(server.policy.timerCount()).isEqualTo(timersBefore);
    }

    @Test
    void withdrawnIdempotentRequestsLeaveNoTimers() {
        admitAndWithdraw(RecordingServer.IDEMPOTENT);
        assertThat(server.policy.timerCount()).isEqualTo(timersBefore);
    }

    @Test
    void rejectedAndServedRequestsLeaveNoTimers() {
        for (int i = 0; i < REQUESTS; i++) {
            server.admit(RecordingServer.LOCAL);
        }
        for (long id : server.listeners.keySet()) {
            if (!server.listeners.get(id).isFinished()) {
                server.complete(id);
            }
        }
        assertThat(server.trace).anyMatch(line -> line.contains("reject"));
        assertThat(server.policy.timerCount()).isEqualTo(timersBefore);
    }
}
