package lupinwood.net;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.List;
import lupinwood.admission.GoldenFile;
import lupinwood.admission.ScriptedPolicy;
import org.junit.jupiter.api.Test;

/**
 * The lines to and from the executor and the shared dependency, and the reports to the service
 * registry.
 */
final class GoldenLinesTest extends GoldenExchange {
    private static final String UPSTREAM = "dispatcher";
    private static final String EXECUTOR = "executor";
    private static final String DEPENDENCY = "index";
    private static final String REGISTRY = "naming";
    private static final int SHORT_WAIT_MS = 5;

    private End upstream;
    private End dependency;
    private int notice;

    private void beginWith(String welcome) throws Exception {
        open();
        serving.start();
        executor = executorPlace.accept();
        hearCommand();
        say(EXECUTOR, executor, welcome + "\r\n");
        untilMade();
        upstream = connect();
    }

    private void hearCommand() throws Exception {
        hearLine(EXECUTOR, executor, "EXEC", "RETURN");
    }

    /** A request comes, and the command to run it goes out. */
    private void run(int tag, String className, int script) throws Exception {
        send(tag, className, script);
        hearCommand();
    }

    private void send(int tag, String className, int script) throws IOException {
        String fields =
                String.format(
                        "req=%016x,ts=%d,via=1,owner=acme,need=%d,level=0.5%s",
                        tag,
                        NOW_MS,
                        script,
                        className.equals("pay") ? ",opkey=" + Integer.toHexString(tag) : "");
        note(UPSTREAM + " > (ticket " + tag + ")");
        upstream.say(array("REQ", "" + tag, className, fields, "body " + tag));
    }

    /** The executor tells of a run. */
    private void tell(String kind, int tag, String rest) throws IOException {
        say(EXECUTOR, executor, String.format("%s %d %016x%s\r\n", kind, ++notice, tag, rest));
    }

    private void answered() throws Exception {
        hearArray(UPSTREAM, upstream);
    }

    @Test
    void runsCallsAndResourceUsageHaveTheSameLines() throws Exception {
        beginWith("WELCOME COLD 900.5");
        title("what the node is told");
        note(reported.get(1).strip());
        title("a run with a call");
        run(101, "look", 20);
        tell("CALLOUT", 101, " 5\r\nask\0!");
        dependency = dependencyPlace.accept();
        hearLine(DEPENDENCY, dependency, "GET");
        say(DEPENDENCY, dependency, String.format("%016x HIT 4\r\n\r\nok\r\n", 101));
        hearCommand();
        tell("CALLOUT", 101, " 0\r\n");
        // A reply names only its try, so the next call of the same try gets a new connection.
        End second = dependencyPlace.accept();
        hearLine(DEPENDENCY, second, "GET");
        say(DEPENDENCY, second, String.format("%016x HIT 0\r\n\r\n", 101));
        hearCommand();
        tell("EXIT", 101, " OK 12.25 2\r\nok");
        answered();
        noteHeard();
        title("each end of a run");
        int tag = 110;
        for (String end : List.of(" OK 5", " OK 5 0\r\n", " ERROR 6", " STOPPED 7", " MOOT 0")) {
            run(++tag, "look", 20);
            tell("EXIT", tag, end);
            answered();
            noteHeard();
        }
        title("stopped");
        run(120, "look", ScriptedPolicy.STOP);
        hearCommand();
        tell("EXIT", 120, " STOPPED 1");
        answered();
        noteHeard();
        title("gauges");
        for (String resourceUsage : List.of(" 0.5 3", " 0.5", "", " 1e-3 2.5 7", " NaN Infinity")) {
            skip(0.03); // resource usage as new as those before would not be asked for
            run(++tag + 20, "look", ScriptedPolicy.WAKE);
            String requested = executor.line();
            note(EXECUTOR + " < " + requested);
            String number = requested.split(" ", 0)[1];
            say(EXECUTOR, executor, "METERS " + number + resourceUsage + "\r\n");
            untilHeard(2);
            noteHeard();
        }
        title("a check by work");
        send(150, "look", ScriptedPolicy.HEALTH_BY_WORK);
        answered();
        for (String word : List.of("OK", "BAD")) {
            say(UPSTREAM, upstream, array("HEALTH", "151", "real=1"));
            String requested = executor.line();
            note(EXECUTOR + " < " + requested);
            String number = requested.split(" ", 0)[1];
            say(EXECUTOR, executor, "DIAGNOSED " + number + " " + word + "\r\n");
            answered();
        }
        GoldenFile.holds("lines/runs.txt", transcript());
    }

    @Test
    void whatTheExecutorWillNotDoIsUnderstoodTheSame() throws Exception {
        beginWith("WELCOME WARM 12");
        title("a run that it refuses");
        run(101, "look", 20);
        say(EXECUTOR, executor, String.format("BAD EXEC %016x\r\n", 101));
        hearEnd(UPSTREAM, upstream);
        upstream = connect();
        noteHeard();
        title("a call to be left out, and the same refused");
        run(102, "look", ScriptedPolicy.SKIP_CALL);
        tell("CALLOUT", 102, " 3\r\nask");
        hearCommand();
        tell("EXIT", 102, " OK 1 2\r\nok");
        answered();
        run(103, "pay", ScriptedPolicy.SKIP_CALL);
        tell("CALLOUT", 103, " 3\r\nask");
        hearCommand();
        say(EXECUTOR, executor, String.format("BAD BYPASS %016x\r\n", 103));
        answered();
        noteHeard();
        title("from then on it is not asked for again");
        run(104, "pay", ScriptedPolicy.SKIP_CALL);
        tell("CALLOUT", 104, " 3\r\nask");
        answered();
        noteHeard();
        title("a stop that it refuses");
        run(105, "look", ScriptedPolicy.STOP);
        hearCommand();
        int before = logSize();
        say(EXECUTOR, executor, String.format("BAD KILL %016x\r\n", 105));
        untilMoreIsLogged(before);
        run(106, "look", ScriptedPolicy.STOP);
        tell("EXIT", 106, " OK 1 2\r\nok");
        answered();
        noteHeard();
        GoldenFile.holds("lines/refused.txt", transcript());
    }

    @Test
    void whatMeansNothingHarmsNothing() throws Exception {
        beginWith("WELCOME WARM 12");
        for (String line :
                List.of(
                        "BAD METER 7",
                        "BAD - -",
                        "WHAT is this",
                        "",
                        "EXIT 1",
                        "WELCOME WARM",
                        "DIAGNOSED 1",
                        "CALLOUT 1 2",
                        "METERS",
                        "LOG " + ++notice + " said by the executor",
                        "DIAGNOSED 99 OK",
                        "METERS 99 1 2")) {
            say(EXECUTOR, executor, line + "\r\n");
        }
        tell("EXIT", 999, " OK 1 2\r\nok");
        tell("CALLOUT", 999, " 2\r\nok");
        run(107, "look", 20);
        say(EXECUTOR, executor, String.format("EXIT 1 %016x ERROR 1\r\n", 107));
        notice += 5; // missing notices are passed over, and those read before count for nothing
        tell("EXIT", 107, " OK 1 2\r\nok");
        answered();
        noteHeard();
        GoldenFile.holds("lines/passed-over.txt", transcript());
    }

    /** The executor takes a new link; the node's clock goes on until it makes one. */
    private void acceptAgain() throws Exception {
        executorPlace.socket.setSoTimeout(SHORT_WAIT_MS);
        for (executor = null; executor == null; ) {
            try {
                executor = executorPlace.accept();
            } catch (SocketTimeoutException e) {
                skip(0.06);
            }
        }
        hearCommand();
        say(EXECUTOR, executor, "WELCOME WARM 100000\r\n");
        String requested = executor.line();
        note(EXECUTOR + " < " + requested);
        say(EXECUTOR, executor, "METERS " + requested.split(" ", 0)[1] + " 0 0\r\n");
    }

    @Test
    void linesThatCannotBeReadEndTheLinkAndTheNextOneBeginsTheSame() throws Exception {
        beginWith("WELCOME WARM 100000");
        for (String bytes :
                List.of(
                        "EXIT x 0000000000000065 OK 5\r\n",
                        "EXIT 1 65 OK 5\r\n",
                        "EXIT 1 000000000000006A OK 5\r\n",
                        "EXIT 1 0000000000000065 WELL 5\r\n",
                        "EXIT 1 0000000000000065 OK x\r\n",
                        "EXIT 1 0000000000000065 OK 5 x\r\n",
                        "EXIT 1 0000000000000065 OK 5 65537\r\n",
                        "EXIT 1 0000000000000065 OK 5 1\r\nab\r\n",
                        "CALLOUT 1 65 0\r\n\r\n",
                        "WELCOME WARM x\r\n",
                        "DIAGNOSED x OK\r\n",
                        "METERS x\r\n",
                        "METERS 1 x\r\n",
                        "LOG x y\r\n",
                        "LOG 1234567890123456789 y\r\n",
                        "END\n",
                        "E\rND\r\n",
                        "x".repeat(4097))) {
            say(EXECUTOR, executor, bytes);
            hearEnd(EXECUTOR, executor);
            acceptAgain();
        }
        title("what was written to a link that is lost is written again");
        int before = logSize();
        say(EXECUTOR, executor, "WHAT\r\n");
        untilMoreIsLogged(before);
        run(101, "look", 20);
        executor.socket.close();
        acceptAgain();
        hearCommand();
        notice = 7;
        tell("EXIT", 101, " OK 1 2\r\nok");
        answered();
        title("the next link tells the last notice that was read");
        executor.socket.close();
        acceptAgain();
        GoldenFile.holds("lines/malformed.txt", transcript());
    }

    private void call(int tag) throws Exception {
        run(tag, "look", ScriptedPolicy.SKIP_FAILED_CALL);
        tell("CALLOUT", tag, " 3\r\nask");
        if (dependency == null) {
            dependency = dependencyPlace.accept();
        }
        hearLine(DEPENDENCY, dependency, "GET");
    }

    @Test
    void repliesOfTheDependencyAreUnderstoodTheSame() throws Exception {
        beginWith("WELCOME WARM 12");
        int tag = 100;
        title("each end of a call");
        for (String word : List.of("SHED", "BROKEN", "SLOW", "NOBODY", "HIT 2\r\nok")) {
            call(++tag);
            say(
                    DEPENDENCY,
                    dependency,
                    String.format("%016x NOBODY\r\n", 99)); // another's, passed over
            say(DEPENDENCY, dependency, String.format("%016x %s\r\n", tag, word));
            hearCommand();
            noteHeard();
        }
        title("what can't be read");
        for (String bytes :
                List.of(
                        "%016x WELL\r\n",
                        "%016x HIT\r\n",
                        "%016x HIT x\r\n",
                        "%016x HIT 65537\r\n",
                        "%016x SHED 0\r\n",
                        "%016x\r\n",
                        "%016x HIT 1\r\nab\r\n",
                        "%016x SHED\n",
                        "\r\n")) {
            call(++tag);
            say(DEPENDENCY, dependency, String.format(bytes, tag));
            hearEnd(DEPENDENCY, dependency);
            dependency = null;
            hearCommand();
            noteHeard();
        }
        title("the connection ends");
        call(++tag);
        dependency.socket.close();
        dependency = null;
        hearCommand();
        noteHeard();
        title("no reply in time");
        call(++tag);
        skip(1.6);
        hearEnd(DEPENDENCY, dependency);
        hearCommand();
        noteHeard();
        title("nobody is there");
        dependencyPlace.close();
        run(++tag, "look", ScriptedPolicy.SKIP_FAILED_CALL);
        tell("CALLOUT", tag, " 3\r\nask");
        hearCommand();
        noteHeard();
        GoldenFile.holds("lines/index.txt", transcript());
    }

    @Test
    void callsHaveNoPlaceToGoWithoutADependency() throws Exception {
        withoutDependency = true;
        settings = SETTINGS.replace("\"below\": \"one_for_all\"", "\"below\": \"off\"");
        beginWith("WELCOME WARM 12");
        run(101, "look", ScriptedPolicy.SKIP_FAILED_CALL);
        tell("CALLOUT", 101, " 3\r\nask");
        hearCommand();
        noteHeard();
        GoldenFile.holds("lines/no-index.txt", transcript());
    }

    @Test
    void reportsToTheNameServiceHaveTheSameBytes() throws Exception {
        name = "n 1/\u00e4+~*\u20ac";
        begin();
        End registry = registryPlace.accept();
        hearRequest(REGISTRY, registry);
        int before = logSize();
        say(REGISTRY, registry, "HTTP/1.1 500 Oh\r\nContent-Length: 3\r\n\r\nabc");
        untilMoreIsLogged(before);
        skip(1);
        hearRequest(REGISTRY, registry);
        before = logSize();
        say(REGISTRY, registry, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n");
        untilMoreIsLogged(before);
        skip(1);
        hearRequest(REGISTRY, registry);
        say(REGISTRY, registry, "HTTP/1.1 204 No Content\r\nconnection: Close\r\n\r\n");
        hearEnd(REGISTRY, registry);
        for (String reply :
                List.of(
                        "HTTP/1.0 204 No Content\r\n\r\n",
                        "HTTP/1.1 404 N\r\n\r\n",
                        "HTTP/2 204 N\r\n\r\n",
                        "HTTP/1.1 2x4 N\r\n\r\n",
                        "HTTP/1.1 204 N\r\n: x\r\n\r\n",
                        "HTTP/1.1 200 N\r\nContent-Length: x\r\n\r\n",
                        "HTTP/1.1 200 N\r\nContent-Length: 65537\r\n\r\n")) {
            skip(1);
            registry = registryPlace.accept();
            hearRequest(REGISTRY, registry);
            say(REGISTRY, registry, reply);
            hearEnd(REGISTRY, registry);
        }
        title("told to leave");
        leave();
        registry = registryPlace.accept();
        hearRequest(REGISTRY, registry);
        GoldenFile.holds("lines/naming.txt", transcript());
    }
}
