package lupinwood.net;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import lupinwood.admission.GoldenFile;
import lupinwood.admission.ScriptedPolicy;
import lupinwood.processing.IncomingRequest;
import org.junit.jupiter.api.Test;

/** What upstream load balancers say, what they hear, and how their fields are understood. */
final class GoldenRespTest extends GoldenExchange {
    private static final String WHO = "dispatcher";

    private static String fields(int tag, int script) {
        return String.format(
                "req=%016x,ts=%d,via=1,owner=acme,need=%d,level=0.5", tag, NOW_MS, script);
    }

    private static String ask(int tag, String className, int script, String more) {
        return array("REQ", "" + tag, className, fields(tag, script) + more, "body");
    }

    /** A request that is run, and ends well. */
    private void runAndEnd(End caller, int notice, int tag, int script) throws Exception {
        say(WHO, caller, ask(tag, "look", script, ""));
        hearLine("executor", executor, "EXEC");
        exit(notice, tag, "result " + tag);
        hearArray(WHO, caller);
    }

    @Test
    void eachKindOfAnswerHasItsBytes() throws Exception {
        begin();
        End caller = connect();
        title("run");
        for (int i = 0; i < ScriptedPolicy.ADVICES.size(); i++) {
            runAndEnd(caller, i + 1, 100 + i, ScriptedPolicy.REPORT_CAPACITY + i);
        }
        runAndEnd(caller, 50, 130, ScriptedPolicy.REPORT_CAPACITY);
        title("a result without bytes");
        say(WHO, caller, ask(131, "look", 20, ""));
        hearLine("executor", executor, "EXEC");
        exit(51, 131, "");
        hearArray(WHO, caller);
        title("a result of any bytes");
        say(WHO, caller, ask(132, "look", 20, ""));
        hearLine("executor", executor, "EXEC");
        exit(52, 132, "\r\n*1\r\n\0\u00ff\\");
        hearArray(WHO, caller);
        title("bounced, and failed");
        int tag = 140;
        for (int script :
                new int[] {
                    ScriptedPolicy.REJECT,
                    ScriptedPolicy.REJECT_FOR_A_TIME,
                    ScriptedPolicy.REJECT_FOR_GOOD,
                    ScriptedPolicy.FAIL
                }) {
            say(WHO, caller, ask(tag++, "look", script, ""));
            hearArray(WHO, caller);
        }
        title("health checks");
        for (int script :
                new int[] {
                    ScriptedPolicy.HEALTH_GOOD,
                    ScriptedPolicy.HEALTH_BAD,
                    ScriptedPolicy.HEALTH_BY_WORK
                }) {
            say(WHO, caller, ask(tag++, "look", script, ""));
            hearArray(WHO, caller);
            say(WHO, caller, array("HEALTH", "" + tag++));
            hearArray(WHO, caller);
            say(WHO, caller, array("HEALTH", "" + tag++, "real=0"));
            hearArray(WHO, caller);
        }
        for (String word : List.of("OK", "BROKEN")) {
            say(WHO, caller, array("HEALTH", "" + tag++, "real=1"));
            String requested = executor.line();
            note("executor < " + requested);
            executor.say("DIAGNOSED " + requested.split(" ", 0)[1] + " " + word + "\r\n");
            hearArray(WHO, caller);
        }
        title("given up by the dispatcher");
        say(WHO, caller, ask(170, "look", ScriptedPolicy.BLOCK, ""));
        say(WHO, caller, array("ABORT", "170"));
        say(WHO, caller, array("ABORT", "171"));
        say(WHO, caller, array("HEALTH", "172"));
        hearArray(WHO, caller);
        GoldenFile.holds("resp/answers.txt", transcript());
    }

    @Test
    void requestsThatAreUnsoundFailAndEndTheConnectionOfWhoSentNothingElse() throws Exception {
        begin();
        for (String more :
                List.of(
                        "need=1e1",
                        "need=NaN",
                        "need=-1",
                        "need=",
                        "need=0",
                        "need=2000",
                        "level=0.5d",
                        "level=1",
                        "ts=1.5",
                        "ts=-1",
                        "ts=" + (NOW_MS + 251),
                        "via=x",
                        "via=99999999999",
                        "owner=nobody",
                        "owner=",
                        "opkey=zz",
                        "opkey=ab12",
                        "opkey=" + "a".repeat(65),
                        "req=zz",
                        "req=",
                        "subject=g")) {
            unsound(more, ask(300, "look", 20, "," + more));
        }
        unsound("unknown track", ask(300, "gaze", 20, ""));
        unsound(
                "no owner",
                array("REQ", "300", "look", fields(300, 20).replace(",owner=acme", "")));
        unsound("no fields", array("REQ", "300", "look", ""));
        unsound("no item for the fields", array("REQ", "300", "look"));
        unsound("too many items", array("REQ", "300", "look", fields(300, 20), "b", "c"));
        unsound("a receipted track without a mark", ask(300, "pay", 20, ""));
        unsound("a body too long", array("REQ", "300", "look", fields(300, 20), "x".repeat(2049)));
        GoldenFile.holds("resp/unsound.txt", transcript());
    }

    @Test
    void requestsThatFailAloneLeaveTheConnectionAsItIs() throws Exception {
        begin();
        title("times that are none");
        End caller = connect();
        int tag = 310;
        for (String more :
                List.of(
                        "timeout=0",
                        "timeout=-1",
                        "timeout=x",
                        "timeout=1e3",
                        "timeout=",
                        "timeout=86400001",
                        "ms=0",
                        "ms=x",
                        "ms=86400001")) {
            say(WHO, caller, ask(tag++, "look", 20, "," + more));
            hearArray(WHO, caller);
        }
        title("past its abandon time");
        say(WHO, caller, ask(tag++, "look", 20, ",ts=" + (NOW_MS - 9000)));
        hearArray(WHO, caller);
        say(WHO, caller, ask(tag++, "look", 20, ",timeout=100,ts=" + (NOW_MS - 100)));
        hearArray(WHO, caller);
        title("unsound, from who sent sound ones");
        runAndEnd(caller, 1, tag++, 20);
        say(WHO, caller, ask(tag++, "gaze", 20, ""));
        hearArray(WHO, caller);
        runAndEnd(caller, 2, tag, 20);
        title("named like another");
        say(WHO, caller, ask(400, "look", ScriptedPolicy.BLOCK, ""));
        say(WHO, caller, ask(400, "look", 20, "").replace("$3\r\n400\r\n", "$3\r\n401\r\n"));
        hearArray(WHO, caller);
        title("a tag that is still open");
        say(WHO, caller, ask(402, "look", 20, ""));
        hearLine("executor", executor, "EXEC");
        int before = logSize();
        say(WHO, caller, ask(402, "look", 20, ""));
        untilMoreIsLogged(before);
        say("executor", executor, String.format("EXIT 3 %016x OK 5 4\r\nowed\r\n", 402));
        hearArray(WHO, caller);
        GoldenFile.holds("resp/unsound-alone.txt", transcript());
    }

    private void unsound(String title, String bytes) throws Exception {
        title(title);
        End caller = connect();
        say(WHO, caller, bytes);
        hearEnd(WHO, caller);
    }

    @Test
    void whatIsNoRequestEndsItsConnection() throws Exception {
        begin();
        for (String bytes :
                List.of(
                        "GET / HTTP/1.1\r\n",
                        "*x\r\n",
                        "*\r\n",
                        "*0\r\n",
                        "*-1\r\n",
                        "*9\r\n",
                        "*1\n",
                        "*1\r\n:1\r\n",
                        "*1\r\n$-1\r\n",
                        "*2\r\n$4097\r\n",
                        "*2\r\n$99999999999999999999\r\n",
                        "*2\r\n$1\r\nab\r\n",
                        array("REQ"),
                        array("HEALTH"),
                        array("HEALTH", "0"),
                        array("HEALTH", "x"),
                        array("ABORT", "-1"),
                        array("ABORT", "9999999999999999999"),
                        array("NOVERB", "200"),
                        array("health", "1"))) {
            unsound("closed", bytes);
        }
        title("what came before is answered");
        End caller = connect();
        say(WHO, caller, array("HEALTH", "7") + array("NOVERB", "8") + array("HEALTH", "9"));
        hearEnd(WHO, caller);
        GoldenFile.holds("resp/frames.txt", transcript());
    }

    @Test
    void repeatsOfAMarkedRequestAreAnsweredFromTheFirst() throws Exception {
        begin();
        End caller = connect();
        title("while the first runs, and after it");
        say(WHO, caller, ask(101, "pay", 20, ",opkey=AB12"));
        hearLine("executor", executor, "EXEC");
        say(WHO, caller, ask(102, "pay", 20, ",opkey=AB12,resent=1"));
        untilHeard(2);
        say("executor", executor, String.format("EXIT 1 %016x OK 5 4\r\npaid\r\n", 101));
        hearArray(WHO, caller);
        hearArray(WHO, caller);
        say(WHO, caller, ask(103, "pay", 20, ",opkey=AB12"));
        hearArray(WHO, caller);
        noteHeard();
        title("another body with the same mark");
        say(WHO, caller, array("REQ", "104", "pay", fields(104, 20) + ",opkey=AB12", "other"));
        hearArray(WHO, caller);
        title("the same digits in small letters");
        say(WHO, caller, ask(105, "pay", 20, ",opkey=ab12"));
        hearLine("executor", executor, "EXEC");
        say("executor", executor, String.format("EXIT 2 %016x ERROR 5\r\n", 105));
        hearArray(WHO, caller);
        say(WHO, caller, ask(106, "pay", 20, ",opkey=ab12"));
        hearArray(WHO, caller);
        title("nothing was started, so a repeat is run");
        say(WHO, caller, ask(107, "pay", 20, ",opkey=cd"));
        hearLine("executor", executor, "EXEC");
        say("executor", executor, String.format("EXIT 3 %016x MOOT 0\r\n", 107));
        hearArray(WHO, caller);
        say(WHO, caller, ask(108, "pay", 20, ",opkey=cd"));
        hearLine("executor", executor, "EXEC");
        say("executor", executor, String.format("EXIT 4 %016x OK 5 2\r\nok\r\n", 108));
        hearArray(WHO, caller);
        noteHeard();
        GoldenFile.holds("resp/repeats.txt", transcript());
    }

    @Test
    void aNodeThatLeavesRefusesAndAsksForNoMore() throws Exception {
        begin();
        End caller = connect();
        runAndEnd(caller, 1, 100, 20);
        say(WHO, caller, ask(101, "look", 20, ""));
        hearLine("executor", executor, "EXEC");
        title("told to leave");
        leave();
        untilHeard(4);
        say(WHO, caller, ask(102, "look", 20, ""));
        hearArray(WHO, caller);
        say(WHO, caller, array("HEALTH", "103"));
        hearArray(WHO, caller);
        say("executor", executor, String.format("EXIT 2 %016x OK 5 4\r\ndone\r\n", 101));
        hearArray(WHO, caller);
        title("a second later");
        skip(1.1);
        hearArray(WHO, caller);
        title("some time later");
        skip(0.3);
        hearEnd(WHO, caller);
        noteHeard();
        GoldenFile.holds("resp/leaving.txt", transcript());
    }

    @Test
    void aRequestBeforeTheExecutorIsUpIsSentAway() throws Exception {
        open();
        serving.start();
        End caller = connect();
        say(WHO, caller, array("HEALTH", "1"));
        hearArray(WHO, caller);
        say(WHO, caller, ask(2, "look", 20, ""));
        hearArray(WHO, caller);
        GoldenFile.holds("resp/before-the-executor.txt", transcript());
    }

    @Test
    void fieldsAreUnderstoodAsEver() {
        for (String fields :
                List.of(
                        fields(1, 20),
                        fields(1, 20)
                                + ",subject=fedcba9876543210,opkey=aB,resent=1,timeout=1500,ms=2.5",
                        fields(1, 20) + ",resent=0,timeout=0.000001,ms=86400000",
                        fields(1, 20) + ",timeout=86400000.1,ms=0",
                        fields(1, 20) + ",timeout=1e3,ms=-1",
                        fields(1, 20) + ",timeout=,ms=,subject=,opkey=",
                        fields(1, 20) + ",owner=a b,c=d=e,=x,y,need=.5,level=1.",
                        fields(1, 20) + ",need=" + "1".repeat(40) + ",ts=999999999999999",
                        fields(1, 20) + ",need=" + "1".repeat(41),
                        fields(1, 20) + ",need=.",
                        fields(1, 20) + ",ts=9999999999999999",
                        fields(1, 20) + ",via=2147483647",
                        fields(1, 20) + ",via=2147483648",
                        fields(1, 20) + ",subject=-1",
                        "",
                        "req=0000000000000001,ts=1,via=0,need=1,level=0")) {
            note("> " + fields);
            note(understood("look", fields, "b\0"));
            note(understood("a track", fields, null));
        }
        GoldenFile.holds("resp/fields.txt", transcript());
    }

    private static String understood(String className, String fields, String body) {
        List<byte[]> items = new ArrayList<>();
        items.add("REQ".getBytes(UTF_8));
        items.add("1".getBytes(UTF_8));
        items.add(className.getBytes(UTF_8));
        items.add(fields.getBytes(UTF_8));
        if (body != null) {
            items.add(body.getBytes(UTF_8));
        }
        IncomingRequest incomingRequest = RespListener.arrival(items);
        return incomingRequest == null
                ? "none"
                : String.format(
                        Locale.ROOT,
                        "try %s track %s customer '%s' subject %x caller %d patience %d work %d"
                                + " repeat %b reached %d memory %s rank %s mark %s body '%s'",
                        incomingRequest.attemptId().digits(),
                        incomingRequest.className(),
                        incomingRequest.tenant(),
                        incomingRequest.subject().number(),
                        incomingRequest.upstreamId().number(),
                        incomingRequest.clientTimeout().nanos(),
                        incomingRequest.work().nanos(),
                        incomingRequest.repeat(),
                        incomingRequest.reached().nanos(),
                        incomingRequest.memoryKb(),
                        incomingRequest.rank(),
                        incomingRequest.idempotencyKey() == null
                                ? "none"
                                : incomingRequest.idempotencyKey().digits(),
                        GoldenFile.shown(incomingRequest.body()));
    }
}
