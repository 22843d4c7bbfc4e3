package lupinwood.net;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import lupinwood.core.Arrival;
import lupinwood.node.Span;
import org.junit.jupiter.api.Test;

/**
 * What a node owes on its sockets at operators whose settings and requests differ from each
 * other's.
 */
final class AnyOperatorTest extends SocketTest {
    private static String request(int tag, String more) {
        return array(
                "REQ",
                "" + tag,
                "look",
                String.format(
                        "req=%016x,ts=%d,via=1,need=20.5,level=0.5%s",
                        tag, System.currentTimeMillis(), more),
                "b");
    }

    @Test
    void withoutCustomersRequestsCarryNoOwnerAndTheNodeWarmsUpAllTheSame() throws Exception {
        settings = SETTINGS.replaceFirst("\"customers\": \\[[^]]*\\], ", "");
        start();
        untilLogged("warmed up by ");
        assertThat(logged.toString(UTF_8)).doesNotContain("warmed up by 0 ");
        End caller = dispatcher();
        caller.say(
                request(101, ",level=0.30000000000000004,need=20.499999999999999991")
                        + request(102, ",owner=anyone"));
        expectRun(101, "look", "b");
        expectRun(102, "look", "b");
        exit(1, 101, "one");
        exit(2, 102, "two");
        assertThat(caller.answer()).isEqualTo("101 ACK + one");
        assertThat(caller.answer()).isEqualTo("102 ACK + two");
    }

    @Test
    void aNameOfAnySignsWarmsUpToo() throws Exception {
        settings = SETTINGS.replace("\"look\"", "\"\u0439, \ud83d\ude00\"");
        start();
        untilLogged("warmed up by ");
        assertThat(logged.toString(UTF_8)).doesNotContain("no warm-up", "warmed up by 0 ");
    }

    @Test
    void theAnswerComesWithinTheCallersOwnTime() throws Exception {
        standsStill = true;
        start();
        End caller = dispatcher();
        caller.say(ticket(101, "look", "a", ",timeout=900") + ticket(102, "look", "b"));
        expectRun(101, "look", "a");
        expectRun(102, "look", "b");
        skip(0.5);
        caller.say(array("HEALTH", "5"));
        assertThat(caller.answer()).as("nothing is due yet").isEqualTo("5 GREEN +");
        skip(0.398);
        assertThat(caller.answer()).isEqualTo("101 FAIL +");
        skip(7.0);
        exit(1, 102, "in its track's time");
        assertThat(caller.answer()).isEqualTo("102 ACK + in its track's time");
    }

    @Test
    void whatARequestCarriesIsReadWithItsMeaning() throws Exception {
        ByteBuffer bytes =
                ByteBuffer.wrap(
                        ticket(7, "look", "b", ",timeout=9086,ms=217.87,resent=1")
                                .getBytes(StandardCharsets.ISO_8859_1));
        Arrival arrival = DispatcherListener.arrival(new RespParser().next(bytes));
        assertThat(arrival.patience()).isEqualTo(Span.ofSeconds(9.086));
        assertThat(arrival.work()).isEqualTo(Span.ofSeconds(0.21787));
        assertThat(arrival.repeat()).isTrue();
        bytes =
                ByteBuffer.wrap(
                        ticket(7, "look", "b", ",resent=0").getBytes(StandardCharsets.ISO_8859_1));
        arrival = DispatcherListener.arrival(new RespParser().next(bytes));
        assertThat(arrival)
                .extracting(Arrival::patience, Arrival::work, Arrival::repeat)
                .containsExactly(Span.ZERO, Span.ZERO, false);
    }

    @Test
    void aTimeThatIsNoneIsAnsweredOnceAndTheOthersOnItsConnectionGoOn() throws Exception {
        start();
        End caller = dispatcher();
        caller.say(ticket(101, "look", "a"));
        expectRun(101, "look", "a");
        int tag = 200;
        for (String none :
                List.of(
                        "timeout=0",
                        "timeout=-5",
                        "timeout=86400001",
                        "timeout=999999999999999999999",
                        "timeout=soon",
                        "timeout=",
                        "ms=0",
                        "ms=-1",
                        "ms=1e9",
                        "ms=99999999999",
                        "ms=NaN",
                        "ms=")) {
            caller.say(ticket(++tag, "look", "b", "," + none));
            assertThat(caller.answer()).as(none).isEqualTo(tag + " FAIL +");
        }
        caller.say(ticket(102, "look", "b", ",timeout=9086,ms=217.87,resent=1"));
        expectRun(102, "look", "b");
        exit(1, 101, "one");
        exit(2, 102, "two");
        assertThat(caller.answer()).isEqualTo("101 ACK + one");
        assertThat(caller.answer()).isEqualTo("102 ACK + two");
    }

    @Test
    void aRunWhoseCallerLeftIsStoppedWhereTheSettingsNameAWayUntilTheExecutorRefuses()
            throws Exception {
        settings = SETTINGS.replace("\"stop_mode\": \"off\"", "\"stop_mode\": \"discard\"");
        start();
        End caller = callerWithRun();
        caller.say(array("ABORT", "101"));
        assertThat(executor.command()).isEqualTo(String.format("KILL %016x", 101));
        executor.say(String.format("EXIT 1 %016x STOPPED 9 0\r\n\r\n", 101));
        caller.say(ticket(102, "look", "b"));
        expectRun(102, "look", "b");
        caller.say(array("ABORT", "102"));
        assertThat(executor.command()).isEqualTo(String.format("KILL %016x", 102));
        executor.say(String.format("BAD KILL %016x\r\n", 102));
        untilLogged("did not carry out KILL");
        exit(2, 102, "nobody waits for it");
        caller.say(ticket(103, "look", "c"));
        expectRun(103, "look", "c");
        caller.say(array("ABORT", "103") + ticket(104, "look", "d"));
        expectRun(104, "look", "d");
        exit(3, 103, "nor for this");
        exit(4, 104, "done");
        assertThat(caller.answer()).isEqualTo("104 ACK + done");
    }

    @Test
    void aCallThatFailedIsLeftOutWhereThatIsPaidForUntilTheExecutorRefuses() throws Exception {
        settings =
                SETTINGS.replace(
                        "\"class_calls\"", "\"class_skip_worth\": [0.6, 0.6], \"class_calls\"");
        start();
        End caller = callerWithRun();
        for (int tag = 101; tag <= 103; tag++) {
            if (tag > 101) {
                caller.say(ticket(tag, "look", "a"));
                expectRun(tag, "look", "a");
            }
            callOut(2 * tag, tag);
            End index = indexPlace.accept();
            expectCall(index, tag);
            // What can't be read ends the connection, so that each call comes on one of its own.
            index.say(String.format("%016x SLOW\r\nnothing that can be read\r\n", tag));
            assertThat(index.isOver()).isTrue();
            if (tag < 103) {
                assertThat(executor.command()).isEqualTo(String.format("BYPASS %016x", tag));
            }
            if (tag == 101) {
                exit(2 * tag + 1, tag, "poorer");
                assertThat(caller.answer()).isEqualTo("101 ACK + poorer");
            } else {
                if (tag == 102) {
                    executor.say("BAD - -\r\n"); // as seen; it names neither
                    End again = indexPlace.accept();
                    expectCall(again, tag);
                    again.say(String.format("%016x SLOW\r\nnothing that can be read\r\n", tag));
                    assertThat(again.isOver()).isTrue();
                }
                assertThat(caller.answer()).isEqualTo(tag + " FAIL +");
                executor.say(String.format("EXIT %d %016x STOPPED 9 0\r\n\r\n", 2 * tag + 1, tag));
            }
        }
    }
}
