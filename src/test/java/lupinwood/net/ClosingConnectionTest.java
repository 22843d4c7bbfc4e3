package lupinwood.net;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests connections that close while a request is open on them. */
final class ClosingConnectionTest extends SocketTest {
    /**
     * Guards against requests that are never answered: the node asked the upstream to close the
     * connection and stopped reading in the same step, so that what was on its way was lost.
     */
    @Test
    void requestThatCrossesTheCloseRequestIsAnsweredWhileAnotherOneIsOpen() throws Exception {
        start();
        End caller = callerWithRun();
        caller.say(request(102, "look", "b", ",owner=nobody"));
        assertThat(caller.answer()).isEqualTo("102 FAIL +");
        assertThat(caller.answer()).isEqualTo("0 FIN");
        caller.say(request(103, "look", "crossing"));
        assertThat(caller.answer()).isEqualTo("103 NAK +");
        exit(1, 101, "done");
        assertThat(caller.answer()).isEqualTo("101 ACK + done");
        assertThat(caller.isOver()).isTrue();
    }
}
