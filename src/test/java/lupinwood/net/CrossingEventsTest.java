package lupinwood.net;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import lupinwood.admission.AdmissionController;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.RuleCheckingPolicy;
import lupinwood.log.WallClock;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** What crosses what: each order of events is held by a latch, a clock or a peer of the test's. */
final class CrossingEventsTest extends SocketTest {
    /** As many pieces of news as the event loop thread takes in one round. */
    private static final int A_ROUND = 256;

    @AfterEach
    void resetWallClock() {
        WallClock.readFrom(Instant::now);
    }

    /** The clock that stamps requests is set, by so much beside the true one. */
    private static void setWallClock(Duration beside) {
        WallClock.readFrom(() -> Instant.now().plus(beside));
    }

    private End connect() throws IOException {
        return new End(new Socket(listen.getAddress(), listen.getPort()));
    }

    private static String unsound(int tag) {
        return request(tag, "look", "b", ",owner=nobody");
    }

    // ---- close ----

    @Test
    void aRequestThatCrossesTheCloseOfItsSilentConnectionDoesNotRun() throws Exception {
        AtomicLong rounds = new AtomicLong();
        maker =
                (server, seed, reported) ->
                        new RuleCheckingPolicy(
                                new AdmissionController(server, seed, reported),
                                request -> {},
                                rounds::incrementAndGet);
        start();
        End other = upstream();
        End silent = connect();
        until(() -> serving.figures().startsWith("request processor state connections=2 "));
        for (int i = 0; i < 5; i++) {
            skip(0.26); // all but the last of the times for which it may be silent
            long before = rounds.get();
            until(
                    () -> {
                        serving.eventLoop().tell(() -> {});
                        return rounds.get()
                                > before + 2; // a whole round, its timers among it, began after
                    });
        }
        CountDownLatch go = block();
        for (int i = 0; i < A_ROUND; i++) {
            serving.eventLoop().tell(() -> {});
        }
        silent.say(request(101, "look", "crossing"));
        until(() -> serving.eventLoop().waiting() > A_ROUND);
        skip(0.26);
        go.countDown();
        untilLogged("SAID_NOTHING");
        other.say(request(102, "look", "next"));
        expectRun(102, "look", "next");
        assertThat(silent.answer())
                .as("never run: refused, or the end alone")
                .isIn("101 NAK +", null);
        assertThat(silent.isOver()).isTrue();
    }

    /**
     * After a pause, or where reading is behind, what was said in time has still to be read when
     * the timers ring.
     */
    @Test
    void whatWasSaidDuringAPauseIsReadBeforeAnyoneIsTakenToBeSilent() throws Exception {
        start();
        End blocks = upstream();
        End silent = connect();
        End half = upstream();
        String halved = request(102, "look", "halved");
        half.say(halved.substring(0, 60));
        until(() -> serving.figures().startsWith("request processor state connections=3 "));
        skip(0.2);
        upstream();
        CountDownLatch go = block();
        for (int i = 0; i < 4 * A_ROUND; i++) {
            serving.eventLoop().tell(() -> {});
        }
        // The thread that reads stands still with this one, and reads nothing of the others.
        blocks.say(array("HEALTH", "77"));
        until(
                () ->
                        Thread.getAllStackTraces().entrySet().stream()
                                .anyMatch(
                                        thread ->
                                                thread.getKey()
                                                                .getName()
                                                                .startsWith("SelectorProcessor-")
                                                        && List.of(thread.getValue())
                                                                .toString()
                                                                .contains("EventLoop.tell")));
        silent.say(request(101, "look", "said in the pause"));
        half.say(halved.substring(60));
        skipOnly(5);
        go.countDown();
        List<String> runs = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            runs.add(executor.command());
            executor.line();
        }
        assertThat(runs)
                .containsExactlyInAnyOrder(
                        String.format("EXEC %016x look 17", 101),
                        String.format("EXEC %016x look 6", 102));
    }

    @Test
    void requestsReadWithTheOneThatEndsTheirConnectionAreAnsweredAndDoNotRun() throws Exception {
        start();
        End caller = upstream();
        caller.say(unsound(300) + request(301, "look", "c") + request(302, "pay", "d"));
        assertThat(caller.answer()).isEqualTo("300 FAIL +");
        assertThat(caller.answer()).isEqualTo("301 NAK +");
        assertThat(caller.answer()).isEqualTo("302 NAK +");
        assertThat(caller.isOver()).isTrue();
        upstream().say(request(303, "look", "next"));
        expectRun(303, "look", "next");
    }

    @Test
    void whatCannotBeReadEndsItsConnectionOnceTheAnswersOwedWentOutAndIsNamedOnceWithoutItsBytes()
            throws Exception {
        start();
        End caller = callerWithRun();
        caller.say(
                request(102, "look", "b")
                        + array("ABORT", "secret-word")
                        + request(103, "look", "never read"));
        expectRun(102, "look", "b");
        exit(1, 102, "two");
        exit(2, 101, "one");
        assertThat(caller.answer()).isEqualTo("102 ACK + two");
        assertThat(caller.answer()).isEqualTo("101 ACK + one");
        assertThat(caller.isOver()).isTrue();
        log.drain();
        assertThat(logged.toString(UTF_8))
                .containsOnlyOnce("closing the connection with")
                .doesNotContain("secret-word");
    }

    /**
     * A socket that is closed over unread bytes is reset, and the reset takes with it what is still
     * on its way.
     */
    @Test
    void answersBeforeACloseOutliveWhatTheCallerStillSends() throws Exception {
        CountDownLatch go = new CountDownLatch(1);
        CountDownLatch ending = new CountDownLatch(1);
        blocked.add(go);
        // The round in which the last request is found unsound stands still before it writes.
        maker =
                (server, seed, reported) ->
                        new RuleCheckingPolicy(
                                new AdmissionController(server, seed, reported),
                                request -> {},
                                () -> {
                                    log.drain();
                                    if (logged.toString(UTF_8).contains("reason=unknown_tenant")) {
                                        ending.countDown();
                                        await(go);
                                    }
                                });
        start();
        upstream();
        try (SocketChannel caller = SocketChannel.open()) {
            caller.setOption(
                    StandardSocketOptions.SO_RCVBUF,
                    2048); // most of the answers wait on the node's side
            caller.connect(listen);
            StringBuilder requests = new StringBuilder();
            for (int i = 0; i < 2; i++) {
                requests.append(request(101 + i, "look", "a"));
            }
            write(caller, requests.toString());
            String result = "r".repeat(4096);
            for (int i = 0; i < 2; i++) {
                expectRun(101 + i, "look", "a");
            }
            for (int i = 0; i < 2; i++) {
                exit(1 + i, 101 + i, result);
            }
            until(() -> serving.figures().contains(" openRequests=0 "));
            for (int strike = 0; strike < 16; strike++) {
                write(caller, unsound(300 + strike));
            }
            await(ending);
            caller.configureBlocking(false);
            ByteBuffer more =
                    ByteBuffer.wrap(
                            array("ABORT", "999")
                                    .repeat(100)
                                    .getBytes(StandardCharsets.ISO_8859_1));
            for (int i = 0; i < 256; i++) {
                caller.write(more.rewind());
            }
            go.countDown();
            // Only then is anything read: what a reset takes with it is gone by now.
            until(() -> serving.figures().startsWith("request processor state connections=1 "));
            caller.configureBlocking(true);
            End end = new End(caller.socket());
            for (int i = 0; i < 2; i++) {
                assertThat(end.answer()).isEqualTo((101 + i) + " ACK + " + result);
            }
            for (int strike = 0; strike < 16; strike++) {
                assertThat(end.answer()).isEqualTo((300 + strike) + " FAIL +");
            }
            assertThat(end.in().read()).as("the end, and no reset").isEqualTo(-1);
        }
    }

    private static void write(SocketChannel to, String text) throws IOException {
        to.write(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
    }

    // ---- shutdown ----

    @Test
    void aNoticeBeforeTheListenerOpensKeepsItShut() throws Exception {
        open();
        serving.leave();
        assertThat(serving.start()).isFalse();
        assertThatThrownBy(() -> new Socket(listen.getAddress(), listen.getPort()))
                .isInstanceOf(ConnectException.class);
    }

    @Test
    void whoWaitsToBeAcceptedAsTheListenerClosesIsLetIn() throws Exception {
        CountDownLatch first = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        IoProcessor<NioSession> processor = new SimpleIoProcessorPool<>(NioProcessor.class, 1);
        AcceptLimit limit = new AcceptLimit();
        limit.allow(4);
        Acceptor acceptor =
                new Acceptor(processor, limit) {
                    @Override
                    protected NioSession accept(
                            IoProcessor<NioSession> by, java.nio.channels.ServerSocketChannel from)
                            throws Exception {
                        NioSession session = super.accept(by, from);
                        first.countDown();
                        await(go);
                        return session;
                    }
                };
        acceptor.setCloseOnDeactivation(false);
        InetSocketAddress at = hears(acceptor);
        List<End> callers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            callers.add(new End(new Socket(at.getAddress(), at.getPort())));
            callers.get(i).say("ticket " + i);
        }
        await(first);
        Thread closing = new Thread(acceptor::unbind);
        closing.start();
        until(
                () ->
                        closing.getState()
                                == Thread.State
                                        .TIMED_WAITING); // for the thread that accepts, which is
        // held
        go.countDown();
        closing.join(RESPONSE_TIMEOUT_MS);
        for (End caller : callers) {
            assertThat(caller.line()).isEqualTo("heard");
        }
        assertThat(acceptor.accepted()).isEqualTo(4);
        acceptor.dispose();
        processor.dispose();
    }

    @Test
    void howeverSoonTheStopComesAllThatWasReadIsAnsweredBeforeIt() throws Exception {
        for (int stop : new int[] {300, 1000, 2000}) {
            stopMs = stop;
            start();
            End caller = callerWithRun();
            End resting = upstream();
            Thread leaving = leave();
            assertThat(caller.answer()).as("stop after %d ms", stop).isEqualTo("101 FAIL +");
            assertThat(caller.answer()).isEqualTo("0 FIN");
            assertThat(resting.answer()).isEqualTo("0 FIN");
            assertThat(resting.in().read()).as("rests until the node ends it").isEqualTo(-1);
            leaving.join(RESPONSE_TIMEOUT_MS);
            stop();
        }
        for (long stop = 1_000_000; stop < 3_600_000_000_000L; stop += stop / 3) {
            NodeServer.DrainSequence parts =
                    NodeServer.DrainSequence.within(new NanoDuration(stop));
            assertThat(parts.part()).isGreaterThan(NanoDuration.ZERO);
            assertThat(parts.answered()).isGreaterThanOrEqualTo(new NanoDuration(stop).times(0.74));
            // The last part is what is left before the stop.
            assertThat(parts.answered().plus(parts.part().times(2)))
                    .isLessThan(new NanoDuration(stop));
        }
    }

    @Test
    void whoRestsUntilTheNodeEndsItIsNotResetByWhatItSendsThenAndNothingOfItRuns()
            throws Exception {
        standsStill = true;
        start();
        End resting = upstream();
        Thread leaving = leave();
        untilLogged("told to leave");
        until(
                () -> {
                    resting.say(array("HEALTH", "9"));
                    return resting.answer().startsWith("9 RED");
                });
        skip(1.1);
        assertThat(resting.answer()).isEqualTo("0 FIN");
        resting.say(request(101, "look", "after the wish to close"));
        assertThat(resting.answer()).startsWith("101 NAK");
        skip(0.2);
        assertThat(resting.in().read()).as("the end").isEqualTo(-1);
        resting.say(request(102, "look", "after the end"));
        // The first word after a reset is taken, the second is not.
        resting.say(request(103, "look", "after the end").substring(0, 40));
        skip(0.2);
        leaving.join(RESPONSE_TIMEOUT_MS);
        for (String line = lineOrEnd(executor); line != null; line = lineOrEnd(executor)) {
            assertThat(line).as("nothing is run").startsWith("METER ");
        }
    }

    private static String lineOrEnd(End end) {
        try {
            return end.line();
        } catch (IOException e) {
            return null;
        }
    }

    @Test
    void theSecondNoticeWaitsForTheFirst() throws Exception {
        stopMs = 3000;
        start();
        End caller = callerWithRun();
        Thread one = leave();
        untilLogged("told to leave");
        Thread two = leave();
        exit(1, 101, "done");
        assertThat(caller.answer()).isEqualTo("101 ACK + done");
        caller.socket.close();
        one.join(RESPONSE_TIMEOUT_MS);
        two.join(RESPONSE_TIMEOUT_MS);
        log.drain();
        assertThat(logged.toString(UTF_8))
                .containsOnlyOnce("told to leave")
                .containsOnlyOnce(" left");
    }

    @Test
    void aReloadThatCrossesTheNoticeIsTakenWholeOrNotAtAll() throws Exception {
        start();
        End caller = callerWithRun();
        CountDownLatch go = block();
        Thread leaving = leave();
        until(() -> serving.eventLoop().waiting() > 0);
        Place before = dependencyPlace;
        dependencyPlace = new Place();
        CompletableFuture<Void> reloaded =
                CompletableFuture.runAsync(
                        () -> {
                            try {
                                serving.reload(config());
                            } catch (Exception e) {
                                throw new AssertionError(e);
                            }
                        });
        until(() -> serving.eventLoop().waiting() > 1);
        go.countDown();
        reloaded.get();
        log.drain();
        assertThat(logged.toString(UTF_8)).contains("nothing reloaded: the node was told to leave");
        callOut(1, 101);
        End dependency = before.accept();
        expectCall(dependency, 101);
        dependency.say(String.format("%016x HIT 2\r\nok\r\n", 101));
        expectReply(101, "ok");
        exit(2, 101, "done");
        assertThat(caller.answer()).isEqualTo("101 ACK + done");
        before.close();
        caller.socket.close();
        leaving.join(RESPONSE_TIMEOUT_MS);
    }

    // ---- repeats ----

    @Test
    void theSameMarkAtOnceOnTwoConnectionsRunsOnceAlsoWhenTheFirstCallerIsGone() throws Exception {
        start();
        End first = upstream();
        End second = upstream();
        End third = upstream();
        CountDownLatch go = block();
        first.say(request(101, "pay", "p"));
        until(() -> serving.eventLoop().waiting() > 0);
        second.say(request(102, "pay", "p"));
        until(() -> serving.eventLoop().waiting() > 1);
        go.countDown();
        expectRun(101, "pay", "p");
        first.socket.setSoLinger(true, 0);
        first.socket.close(); // a reset
        until(() -> serving.figures().startsWith("request processor state connections=2 "));
        third.say(request(103, "pay", "p"));
        until(() -> serving.figures().contains(" openRequests=2 "));
        exit(1, 101, "paid");
        assertThat(second.answer()).isEqualTo("102 ACK + paid");
        assertThat(third.answer()).isEqualTo("103 ACK + paid");
        third.say(request(104, "look", "next"));
        expectRun(104, "look", "next");
    }

    // ---- links ----

    @Test
    void aNoticeBrokenOffInTheMiddleComesWholeOnTheNextLinkAndCountsOnce() throws Exception {
        start();
        End caller = upstream();
        caller.say(request(101, "pay", "p"));
        expectRun(101, "pay", "p");
        executor.say(String.format("EXIT 1 %016x OK 5 4\r\npa", 101));
        executor.socket.close();
        executor = executorPlace.accept();
        assertThat(executor.line()).isEqualTo("JOIN 0");
        executor.say("WELCOME WARM 900\r\n");
        exit(1, 101, "paid");
        exit(1, 101, "paid");
        assertThat(caller.answer()).isEqualTo("101 ACK + paid");
        caller.say(array("HEALTH", "5"));
        assertThat(caller.answer()).as("no second answer").isEqualTo("5 GREEN +");
    }

    @Test
    void anExecutorThatTakesTheLinkAndSaysNothingKeepsNobodyWaiting() throws Exception {
        open();
        serving.start();
        End silent = executorPlace.accept();
        assertThat(silent.line()).isEqualTo("JOIN 0");
        End caller = connect();
        caller.say(array("HEALTH", "1") + request(101, "look", "b"));
        assertThat(caller.answer()).startsWith("1 RED");
        assertThat(caller.answer()).isEqualTo("101 NAK holdoff=1000");
        Thread leaving = leave();
        assertThat(caller.answer()).isEqualTo("0 FIN");
        caller.socket.close();
        leaving.join(RESPONSE_TIMEOUT_MS);
    }

    @Test
    void aReplyBrokenOffInTheMiddleIsAskedForAgainOnlyWhereNothingCanHappenTwice()
            throws Exception {
        start();
        End caller = upstream();
        caller.say(request(101, "look", "a"));
        expectRun(101, "look", "a");
        callOut(1, 101);
        End dependency = dependencyPlace.accept();
        expectCall(dependency, 101);
        dependency.say(String.format("%016x HIT 10\r\nabc", 101));
        dependency.socket.close();
        End again = dependencyPlace.accept();
        expectCall(again, 101);
        again.say(String.format("%016x HIT 2\r\nok\r\n", 101));
        expectReply(101, "ok");
        caller.say(request(102, "pay", "p"));
        expectRun(102, "pay", "p");
        callOut(2, 102);
        expectCall(again, 102);
        again.say(String.format("%016x HIT 10\r\nabc", 102));
        again.socket.close();
        assertThat(caller.answer()).isEqualTo("102 FAIL +");
    }

    // ---- lists and reports ----

    private static String report(End registry) throws IOException {
        assertThat(registry.line()).isEqualTo("PUT /ns/hosts/n1 HTTP/1.1");
        while (!registry.line().isEmpty()) {
            // the other headers
        }
        String body = registry.bytes("{\"serving\":\"no\"}".length());
        return body.endsWith("}") ? body : body + registry.bytes(1);
    }

    @Test
    void theLastReportIsSaidAgainAfterAnEarlierOneThatMayHaveOvertakenIt() throws Exception {
        start();
        End slow = registryPlace.accept();
        assertThat(report(slow)).contains("yes");
        Thread leaving = leave();
        End last = registryPlace.accept();
        assertThat(report(last)).contains("no");
        last.say("HTTP/1.1 204 No Content\r\n\r\n");
        slow.say("HTTP/1.1 204 No Content\r\n\r\n");
        CompletableFuture<String> again = new CompletableFuture<>();
        for (End line : List.of(slow, last)) {
            Thread reads =
                    new Thread(
                            () -> {
                                try {
                                    again.complete(report(line));
                                    line.say("HTTP/1.1 204 No Content\r\n\r\n");
                                } catch (IOException | AssertionError e) {
                                    // The other line has it.
                                }
                            });
            reads.start();
        }
        assertThat(again.get(RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS)).contains("no");
        leaving.join(RESPONSE_TIMEOUT_MS);
    }

    @Test
    void aNameThatIsNoPathIsWrittenAsOne() throws Exception {
        name = "n 1/\u00e9?";
        start();
        assertThat(registryPlace.accept().line())
                .isEqualTo("PUT /ns/hosts/n%201%2F%C3%A9%3F HTTP/1.1");
    }

    @Test
    void theLastReportFindsItsWayPastFourThatNobodyAnswered() throws Exception {
        standsStill = true; // so that none is given up
        start();
        assertThat(report(registryPlace.accept())).contains("yes");
        for (int i = 0; i < 3; i++) {
            Place before = registryPlace;
            registryPlace = new Place();
            serving.reload(config());
            assertThat(report(registryPlace.accept())).contains("yes");
            before.close();
        }
        Thread leaving = leave();
        assertThat(report(registryPlace.accept())).contains("no");
        skip(15);
        leaving.join(RESPONSE_TIMEOUT_MS);
    }

    // ---- clocks ----

    @Test
    void aClockThatIsSetBackStallsNoAnswerAndOneSetForwardTakesNoTime() throws Exception {
        start();
        End caller = callerWithRun();
        setWallClock(Duration.ofHours(1));
        caller.say(array("HEALTH", "7"));
        assertThat(caller.answer()).isEqualTo("7 GREEN +");
        exit(1, 101, "in time");
        assertThat(caller.answer()).isEqualTo("101 ACK + in time");
        setWallClock(Duration.ofHours(-1));
        caller.say(
                array(
                        "REQ",
                        "102",
                        "look",
                        String.format(
                                "req=%016x,ts=%d,via=1,owner=acme,need=20.5,level=0.5",
                                102, WallClock.now().toEpochMilli()),
                        "b"));
        expectRun(102, "look", "b");
        skip(10);
        assertThat(caller.answer()).isEqualTo("102 FAIL +");
    }

    @Test
    void theWindowCountsInTheClockThatStampsRequests() throws Exception {
        start();
        End caller = upstream();
        caller.say(request(101, "pay", "p"));
        expectRun(101, "pay", "p");
        exit(1, 101, "paid");
        assertThat(caller.answer()).isEqualTo("101 ACK + paid");
        // Set back by 30 s, more than window and timeout: by its stamp the next try is within
        // the window.
        setWallClock(Duration.ofSeconds(-30));
        skip(25);
        caller = upstream();
        caller.say(stamped(102, WallClock.now()));
        assertThat(caller.answer()).isIn("102 ACK + paid", "102 FAIL +");
        // Set forward past the window it is a new one.
        setWallClock(Duration.ofSeconds(60));
        caller.say(stamped(103, WallClock.now()));
        expectRun(103, "pay", "p");
    }

    private static String stamped(int tag, Instant when) {
        return array(
                "REQ",
                "" + tag,
                "pay",
                String.format(
                        "req=%016x,ts=%d,via=1,owner=acme,need=20.5,level=0.5,opkey=ab12",
                        tag, when.toEpochMilli()),
                "p");
    }

    // ---- floods ----

    /**
     * What is read and not yet decided is bounded in bytes: many small messages make far more
     * objects than bytes.
     */
    @Test
    void aFloodOfSmallMessagesWaitsAtItsSendersAndCostsNobodyAnAnswer() throws Exception {
        start();
        End caller = callerWithRun();
        List<SocketChannel> flood = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            flood.add(SocketChannel.open(listen));
            write(flood.get(i), array("HEALTH", "1"));
        }
        until(() -> serving.figures().startsWith("request processor state connections=41 "));
        CountDownLatch go = block();
        ByteBuffer many =
                ByteBuffer.wrap(
                        (array("ABORT", "7").repeat(300) + array("HEALTH", "8"))
                                .getBytes(StandardCharsets.ISO_8859_1));
        long written = 0;
        for (int idle = 0; idle < 20_000 && written < 512L << 20; idle++) {
            for (SocketChannel one : flood) {
                one.configureBlocking(false);
                int taken = one.write(many);
                written += taken;
                idle = taken > 0 ? 0 : idle;
                if (!many.hasRemaining()) {
                    many.rewind();
                }
            }
        }
        assertThat(written).as("held up at last").isLessThan(512L << 20);
        until(() -> serving.eventLoop().waitingBytes() > 900_000);
        assertThat(serving.eventLoop().waitingBytes()).isLessThanOrEqualTo(1 << 20);
        go.countDown();
        exit(1, 101, "done");
        assertThat(caller.answer()).isEqualTo("101 ACK + done");
        for (SocketChannel one : flood) {
            one.close();
        }
        upstream();
    }

    // ---- configurations ----

    @Test
    void theDescriptorsOfAnyPlatformAreEnoughForAllThatTakesThem() {
        for (int all = 56; all < 5000; all++) {
            for (int needed : new int[] {0, 1, 32, 1_000_000}) {
                NodeServer.Descriptors parts = NodeServer.Descriptors.of(all, 24, needed, 0);
                assertThat(parts.upstreams()).as("of %d", all).isGreaterThan(all / 2);
                assertThat(parts.closing()).isPositive();
                assertThat(parts.calls()).isBetween(Math.min(2, needed), needed);
                assertThat(parts.upstreams() + parts.closing() + parts.calls() + 24)
                        .as("of %d", all)
                        .isEqualTo(all);
            }
        }
        // More calls where the settings let more be out, and never at the cost of the half that
        // upstream load balancers may take.
        assertThat(NodeServer.Descriptors.of(1024, 24, 300, 0).calls()).isGreaterThan(200);
        for (int all = 64; all < 5000; all++) {
            NodeServer.Descriptors parts = NodeServer.Descriptors.of(all, 24, 64, 10 * 32);
            assertThat(parts.upstreams()).as("of %d", all).isGreaterThan(all / 2);
            assertThat(parts.calls()).isBetween(2, 64);
            assertThat(parts.runs()).isBetween(2, 320);
            assertThat(parts.upstreams() + parts.closing() + parts.calls() + parts.runs() + 24)
                    .isEqualTo(all);
        }
    }

    @Test
    void whatIsStoredGrowsWithTheMemoryAndNeverTakesMoreThanItsPartOfIt() {
        long small = 40L << 20;
        assertThat(TableSizes.of(small)).isEqualTo(new TableSizes(8192, 16384, 8 << 20));
        assertThat(TableSizes.of(50 * small))
                .isEqualTo(new TableSizes(50 * 8192, 50 * 16384, 50L * (8 << 20)));
        for (long memory = 1; memory < 1L << 45; memory *= 3) {
            TableSizes sizes = TableSizes.of(memory);
            assertThat(sizes.requests()).isBetween(1, 1 << 20);
            assertThat(sizes.idempotencyRecords()).isPositive();
            assertThat(sizes.idempotencyBytes()).isLessThanOrEqualTo(memory / 5);
        }
    }

    @Test
    void namesWithBlanksAndCommasAreFoundAgain() throws Exception {
        settings =
                SETTINGS.replace("\"look\"", "\"look, see.v2\"")
                        .replace("\"acme\"", "\"acme & sons\"");
        start();
        End caller = upstream();
        caller.say(request(101, "look, see.v2", "b", ",owner=acme & sons"));
        expectRun(101, "look, see.v2", "b");
        exit(1, 101, "done");
        assertThat(caller.answer()).isEqualTo("101 ACK + done");
    }

    @Test
    void aNodeWithNothingDownstreamNeedsNoDependency() throws Exception {
        settings =
                SETTINGS.replace("one_for_all", "off")
                        .replace("\"calls_out\": 2.0", "\"calls_out\": 0.0")
                        .replace("[true, true]", "[false, false]");
        withoutDependency = true;
        start();
        End caller = callerWithRun();
        exit(1, 101, "done");
        assertThat(caller.answer()).isEqualTo("101 ACK + done");
        serving.reload(config());
        log.drain();
        assertThat(logged.toString(UTF_8)).contains("index none");
        String shared = text().replace("\"below\": \"off\"", "\"below\": \"one_for_all\"");
        assertThat(read(shared).dependency()).as("what no track calls needs no address").isNull();
        assertThatThrownBy(() -> read(shared.replace("[false, false]", "[false, true]")))
                .hasMessageContaining("'index' is missing");
    }

    @Test
    void aRunThatAsksForACallWhereNothingIsDownstreamEndsAtOnce() throws Exception {
        settings = SETTINGS.replace("one_for_all", "off").replace("[true, true]", "[false, false]");
        withoutDependency = true;
        start();
        End caller = callerWithRun();
        callOut(1, 101);
        assertThat(caller.answer()).isEqualTo("101 FAIL +");
        log.drain();
        assertThat(logged.toString(UTF_8)).doesNotContain("a step failed");
    }
}
