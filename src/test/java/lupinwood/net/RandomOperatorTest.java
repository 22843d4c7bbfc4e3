package lupinwood.net;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import lupinwood.admission.NanoDuration;
import lupinwood.processing.IncomingRequest;
import org.junit.jupiter.api.Test;

/**
 * What a node owes on its sockets at operators whose settings and requests differ from each
 * other's.
 */
final class RandomOperatorTest extends SocketTest {
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
    void withoutTenantsRequestsCarryNoOwnerAndTheNodeWarmsUpAllTheSame() throws Exception {
        settings = SETTINGS.replaceFirst("\"customers\": \\[[^]]*\\], ", "");
        start();
        untilLogged("warmed up by ");
        assertThat(logged.toString(UTF_8)).doesNotContain("warmed up by 0 ");
        End caller = upstream();
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
        End caller = upstream();
        caller.say(request(101, "look", "a", ",timeout=900") + request(102, "look", "b"));
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
                        request(7, "look", "b", ",timeout=9086,ms=217.87,resent=1")
                                .getBytes(StandardCharsets.ISO_8859_1));
        IncomingRequest incomingRequest = RespListener.arrival(new RespParser().next(bytes));
        assertThat(incomingRequest.clientTimeout()).isEqualTo(NanoDuration.ofSeconds(9.086));
        assertThat(incomingRequest.work()).isEqualTo(NanoDuration.ofSeconds(0.21787));
        assertThat(incomingRequest.repeat()).isTrue();
        bytes =
                ByteBuffer.wrap(
                        request(7, "look", "b", ",resent=0").getBytes(StandardCharsets.ISO_8859_1));
        incomingRequest = RespListener.arrival(new RespParser().next(bytes));
        assertThat(incomingRequest)
                .extracting(
                        IncomingRequest::clientTimeout,
                        IncomingRequest::work,
                        IncomingRequest::repeat)
                .containsExactly(NanoDuration.ZERO, NanoDuration.ZERO, false);
    }

    @Test
    void aTimeThatIsNoneIsAnsweredOnceAndTheOthersOnItsConnectionGoOn() throws Exception {
        start();
        End caller = upstream();
        caller.say(request(101, "look", "a"));
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
            caller.say(request(++tag, "look", "b", "," + none));
            assertThat(caller.answer()).as(none).isEqualTo(tag + " FAIL +");
        }
        caller.say(request(102, "look", "b", ",timeout=9086,ms=217.87,resent=1"));
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
        caller.say(request(102, "look", "b"));
        expectRun(102, "look", "b");
        caller.say(array("ABORT", "102"));
        assertThat(executor.command()).isEqualTo(String.format("KILL %016x", 102));
        executor.say(String.format("BAD KILL %016x\r\n", 102));
        untilLogged("executor refused command=KILL");
        exit(2, 102, "nobody waits for it");
        caller.say(request(103, "look", "c"));
        expectRun(103, "look", "c");
        caller.say(array("ABORT", "103") + request(104, "look", "d"));
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
                caller.say(request(tag, "look", "a"));
                expectRun(tag, "look", "a");
            }
            callOut(2 * tag, tag);
            End dependency = dependencyPlace.accept();
            expectCall(dependency, tag);
            // What can't be read ends the connection, so that each call comes on one of its own.
            dependency.say(String.format("%016x SLOW\r\nnothing that can be read\r\n", tag));
            assertThat(dependency.isOver()).isTrue();
            if (tag < 103) {
                assertThat(executor.command()).isEqualTo(String.format("BYPASS %016x", tag));
            }
            if (tag == 101) {
                exit(2 * tag + 1, tag, "poorer");
                assertThat(caller.answer()).isEqualTo("101 ACK + poorer");
            } else {
                if (tag == 102) {
                    executor.say("BAD - -\r\n"); // as seen; it names neither
                    End again = dependencyPlace.accept();
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
