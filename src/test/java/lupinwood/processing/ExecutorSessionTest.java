package lupinwood.processing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which commands are sent again after the connection to the executor was lost. */
final class ExecutorSessionTest {
    private final SimulatedExecutor executor = new SimulatedExecutor();

    /** Breaks the connection and lets the node read the WELCOME of the next one. */
    private void reconnect() {
        executor.breakConnection();
        executor.connect();
        executor.deliver();
    }

    /**
     * Guards against a second run of a keyed request: the request starts after the new connection
     * is welcomed and ends before the node has read the first resource usage, which the executor
     * wrote before it read the run command. That usage says nothing of the run, so the command must
     * not be taken for one that was lost with the earlier connection.
     */
    @Test
    void runStartedBeforeTheFirstUsageOfARestoredConnectionIsSentOnce() {
        reconnect();
        AttemptId request = executor.start(1, "token");
        executor.readCommand(); // the query of the recovery
        executor.readCommand(); // the run
        executor.end(request);
        executor.deliver(); // the resource usage
        executor.exchangeAll();
        assertThat(executor.starts(request)).isEqualTo(1);
        assertThat(executor.violations).isEmpty();
        assertThat(executor.requests.size()).isZero();
    }

    /**
     * Guards against a reply that is given to two calls of a run: the reply is given after the new
     * connection is welcomed, and the run has made its next call before the node has read the first
     * resource usage.
     */
    @Test
    void replyGivenBeforeTheFirstUsageOfARestoredConnectionIsSentOnce() {
        AttemptId request = executor.start(1, "effect");
        executor.exchangeAll();
        executor.call(request);
        executor.deliver();
        reconnect();
        executor.reply(request);
        executor.readCommand(); // the query of the recovery
        executor.readCommand(); // the reply
        executor.call(request);
        executor.deliver(); // the resource usage
        executor.exchangeAll();
        assertThat(executor.repliesRead(request, 1)).isEqualTo(1);
        assertThat(executor.violations).isEmpty();
    }

    /** Guards against the same for a run that was told to continue without its call. */
    @Test
    void skipBeforeTheFirstUsageOfARestoredConnectionIsSentOnce() {
        AttemptId request = executor.start(1, "effect");
        executor.exchangeAll();
        executor.call(request);
        executor.deliver();
        reconnect();
        executor.skip(request);
        executor.readCommand(); // the query of the recovery
        executor.readCommand(); // the skip
        executor.call(request);
        executor.deliver(); // the resource usage
        executor.exchangeAll();
        assertThat(executor.repliesRead(request, 1)).isEqualTo(1);
        assertThat(executor.violations).isEmpty();
    }

    /**
     * Guards against a command of the lost connection that is forgotten because one of the restored
     * connection is not in doubt: each is judged by its own connection.
     */
    @Test
    void commandLostWithTheEarlierConnectionIsStillSentAgain() {
        AttemptId lost = executor.start(1, "pure");
        reconnect();
        AttemptId request = executor.start(2, "token");
        executor.exchangeAll();
        assertThat(executor.starts(lost)).isEqualTo(1);
        assertThat(executor.starts(request)).isEqualTo(1);
    }

    /**
     * Guards against a command that counts as read or as new because a second connection was lost
     * before the first one was recovered from.
     */
    @Test
    void commandOfAConnectionLostBeforeItsRecoveryIsInDoubt() {
        reconnect();
        AttemptId request = executor.start(1, "token");
        executor.readCommand(); // the query of the recovery
        executor.readCommand(); // the run
        reconnect();
        executor.end(request);
        executor.exchangeAll();
        assertThat(executor.starts(request)).isEqualTo(1);
        assertThat(executor.requests.size()).isZero();
    }

    /**
     * Guards against a run at a server that is repeated because the connection to the executor was
     * lost, which it does not use: the server ends it, whatever happens to that connection.
     */
    @Test
    void runAtAServerIsNotRepeatedWhenTheConnectionIsLost() {
        executor.classesAtServers.addAll(List.of("token", "pure"));
        AttemptId keyed = executor.start(1, "token");
        AttemptId safe = executor.start(2, "pure");
        reconnect();
        executor.exchangeAll(); // the recovery, whose resource usage counts no run on a core
        assertThat(executor.starts(keyed)).isEqualTo(1);
        assertThat(executor.starts(safe)).isEqualTo(1);
    }
}
