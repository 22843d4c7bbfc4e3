package lupinwood.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What the executor is sent when its connection is lost, or handed over to another address. */
final class ExecutorClientTest extends SocketTest {
    /** Starts a node that has read the executor's welcome: a health check tells. */
    @BeforeEach
    void begin() throws Exception {
        start();
        upstream();
    }

    /** Takes the node's next connection to the executor and welcomes it. */
    private void welcomeNext(int lastNotice) throws IOException {
        executor = executorPlace.accept();
        assertThat(executor.line()).isEqualTo("JOIN " + lastNotice);
        executor.say("WELCOME WARM 900\r\n");
    }

    /** The tag of the query that the node sends first on a restored connection. */
    private String recoveryTag() throws IOException {
        String line = executor.line();
        assertThat(line).startsWith("METER ");
        return line.substring("METER ".length());
    }

    /**
     * Sends a keyed request, lets its run end behind the first resource usage of this connection,
     * and checks that the node sends no second run command before that of a later request.
     */
    private void expectOneRunBehindTheFirstUsage(int firstNotice) throws Exception {
        String tag = recoveryTag();
        End caller = upstream();
        caller.say(request(201, "pay", "once"));
        expectRun(201, "pay", "once");
        executor.say("METERS " + tag + " 0.5 0\r\n");
        exit(firstNotice, 201, "paid");
        assertThat(caller.answer()).isEqualTo("201 ACK + paid");
        caller.say(request(202, "look", "next"));
        expectRun(202, "look", "next");
    }

    /**
     * Guards against a second run of a keyed request after the connection was lost: the executor
     * reports its usage before it reads the run command, and the node took the run for one that the
     * lost connection had swallowed.
     */
    @Test
    void runSentBeforeTheFirstUsageOfARestoredConnectionIsNotRepeated() throws Exception {
        executor.socket.close();
        welcomeNext(0);
        expectOneRunBehindTheFirstUsage(1);
    }

    /** Guards against the same after a reload that moves the executor to another address. */
    @Test
    void runSentBeforeTheFirstUsageOfAnotherAddressIsNotRepeated() throws Exception {
        End before = executor;
        executorPlace = new Place();
        serving.reload(config());
        assertThat(before.line()).startsWith("METER ");
        welcomeNext(0);
        expectOneRunBehindTheFirstUsage(1);
    }

    /** Guards against a reply to a call that is given twice in the same way. */
    @Test
    void replySentBeforeTheFirstUsageOfARestoredConnectionIsNotRepeated() throws Exception {
        End caller = callerWithRun();
        callOut(1, 101);
        End dependency = dependencyPlace.accept();
        expectCall(dependency, 101);
        executor.socket.close();
        welcomeNext(1);
        String tag = recoveryTag();
        dependency.say(String.format("%016x HIT 5\r\nfirst\r\n", 101));
        expectReply(101, "first");
        executor.say("METERS " + tag + " 0.5 0\r\n");
        callOut(2, 101);
        End second = dependencyPlace.accept();
        expectCall(second, 101);
        second.say(String.format("%016x HIT 6\r\nsecond\r\n", 101));
        expectReply(101, "second");
        exit(3, 101, "done");
        assertThat(caller.answer()).isEqualTo("101 ACK + done");
    }

    /**
     * Guards against a run that is never sent: the request arrives while the current connection is
     * about to be replaced and takes no commands, and the connection that should replace it ends
     * before it is used. The current one stays, and nothing is recovered.
     */
    @Test
    void runThatWaitedForAReplacementIsSentOnceTheReplacementFails() throws Exception {
        End caller = upstream();
        End current = executor;
        standsStill = true; // the replacement is neither used nor made again by time alone
        executorPlace = new Place();
        serving.reload(config());
        assertThat(current.line()).startsWith("METER ");
        End replacement = executorPlace.accept();
        caller.say(request(101, "pay", "a"));
        until(() -> serving.figures().contains("openRequests=1"));
        replacement.socket.close();
        expectRun(101, "pay", "a");
        exit(1, 101, "paid");
        assertThat(caller.answer()).isEqualTo("101 ACK + paid");
    }
}
