package lupinwood.net;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.PrintStream;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import lupinwood.admission.AdmissionController;
import lupinwood.admission.MonotonicTime;
import lupinwood.admission.NanoDuration;
import lupinwood.log.Log;
import lupinwood.processing.RequestProcessor;
import lupinwood.processing.TableLimits;
import lupinwood.processing.TimerService;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What a node owes on its sockets when the others behave, and when they don't. */
final class NodeServerTest extends SocketTest {
    @BeforeEach
    void begin() throws Exception {
        start();
    }

    @Test
    void bytesPassUnchangedAndPipelinedRequestsAreAnsweredInAnyOrder() throws Exception {
        End caller = upstream();
        caller.say(request(101, "look", "\r\n*1\r\n\0\u00ff") + request(102, "look", ""));
        expectRun(101, "look", "\r\n*1\r\n\0\u00ff");
        expectRun(102, "look", "");
        exit(1, 102, "\r\n\0\u00fe");
        exit(2, 101, "x".repeat(4096));
        assertThat(caller.answer()).isEqualTo("102 ACK + \r\n\0\u00fe");
        assertThat(caller.answer()).isEqualTo("101 ACK + " + "x".repeat(4096));
    }

    @Test
    void malformedInputEndsItsConnectionAlone() throws Exception {
        End caller = callerWithRun();
        for (String junk :
                List.of(
                        "GET / HTTP/1.1\r\n",
                        array("NOVERB", "200"),
                        array("REQ"),
                        array("ABORT", "0"))) {
            End other = upstream();
            other.say(junk);
            assertThat(other.isOver()).as(junk).isTrue();
        }
        End confused = upstream();
        confused.say(request(201, "look", "b"));
        expectRun(201, "look", "b");
        confused.say(request(201, "look", "b"));
        untilLogged("a tag that is still open came again");
        exit(1, 201, "owed");
        assertThat(confused.answer()).isEqualTo("201 ACK + owed");
        assertThat(confused.isOver()).as("a tag that is still open").isTrue();
        exit(2, 101, "done");
        assertThat(caller.answer()).isEqualTo("101 ACK + done");
        caller.say(array("REQ", "102", "look", "req=zz"));
        assertThat(caller.answer()).isEqualTo("102 FAIL +");
        for (String unsound :
                List.of(
                        "need=1e1",
                        "need=NaN",
                        "need=-1",
                        "need=",
                        "level=0.5d",
                        "ts=1.5",
                        "ts=-1",
                        "via=x",
                        "via=99999999999",
                        "owner=nobody",
                        "opkey=" + "a".repeat(65),
                        "req=zz",
                        "subject=g")) {
            End other = upstream();
            other.say(request(300, "look", "b", "," + unsound));
            assertThat(other.answer()).as(unsound).isEqualTo("300 FAIL +");
            assertThat(other.isOver()).as(unsound).isTrue();
        }
        log.drain();
        assertThat(logged.toString(UTF_8))
                .contains("closing the connection with", "an unknown verb");
    }

    @Test
    void aCallerThatStopsSendingStillGetsItsAnswerAndOneThatDoesNotReadIsCutOff() throws Exception {
        End half = upstream();
        half.say(request(101, "look", "a"));
        half.socket.shutdownOutput();
        expectRun(101, "look", "a");
        exit(1, 101, "done");
        assertThat(half.answer()).isEqualTo("101 ACK + done");
        assertThat(half.isOver()).isTrue();
        End deaf = upstream();
        String many = array("HEALTH", "5").repeat(2000);
        assertThatThrownBy(
                        () -> {
                            for (int i = 0; i < 2000; i++) {
                                deaf.say(many);
                            }
                        })
                .isInstanceOf(IOException.class);
        upstream();
    }

    @Test
    void theSilentAndTheUnfinishedShutOutNoUpstreamAndSoonGo() throws Exception {
        End caller = callerWithRun();
        End half = upstream();
        half.say(request(102, "look", "half").substring(0, 40));
        List<End> silent = new ArrayList<>();
        for (int i = 0; i < 250; i++) {
            silent.add(new End(new Socket(listen.getAddress(), listen.getPort())));
        }
        upstream();
        exit(1, 101, "done");
        assertThat(caller.answer()).isEqualTo("101 ACK + done");
        long begun = System.nanoTime();
        for (End end : silent) {
            assertThat(end.isOver()).isTrue();
        }
        assertThat(half.isOverOnceRequested()).isTrue();
        assertThat(System.nanoTime() - begun).isLessThan(RESPONSE_TIMEOUT_MS * 500_000L);
    }

    @Test
    void aLostLinkIsReplacedAndItsNoticesCountOnce() throws Exception {
        End caller = upstream();
        caller.say(request(101, "pay", "a") + request(102, "look", "b"));
        expectRun(101, "pay", "a");
        expectRun(102, "look", "b");
        exit(1, 101, "paid");
        assertThat(caller.answer()).isEqualTo("101 ACK + paid");
        executor.socket.close();
        executor = executorPlace.accept();
        assertThat(executor.line()).isEqualTo("JOIN 1");
        executor.say("WELCOME WARM 900\r\nWHAT is this\r\n");
        exit(1, 102, "a notice read before");
        exit(2, 102, "seen");
        assertThat(caller.answer()).isEqualTo("102 ACK + seen");
        caller.say(request(103, "pay", "a") + request(104, "pay", "other"));
        assertThat(caller.answer()).isEqualTo("104 FAIL +");
        assertThat(caller.answer()).isEqualTo("103 ACK + paid");
    }

    @Test
    void anExecutorIsTakenToBeAnotherOnlyWhereItIsYoungerThanTheTimeWithoutALink()
            throws Exception {
        End caller = callerWithRun();
        for (int age : new int[] {700, 1}) {
            Thread.sleep(age == 700 ? 0 : 300);
            executor.socket.close();
            executor = executorPlace.accept();
            assertThat(executor.line()).isEqualTo("JOIN 0");
            executor.say("WELCOME COLD " + age + "\r\n");
            assertThat(executor.line()).startsWith("METER ");
        }
        assertThat(caller.answer()).isEqualTo("101 FAIL +");
        log.drain();
        assertThat(logged.toString(UTF_8)).containsOnlyOnce("executor restarted");
    }

    @Test
    void aReloadMovesEachLinkAndLosesNothing() throws Exception {
        End caller = callerWithRun();
        callOut(1, 101);
        End dependency = dependencyPlace.accept();
        expectCall(dependency, 101);
        caller.say(request(102, "pay", "p"));
        expectRun(102, "pay", "p");
        End before = executor;
        executorPlace = new Place();
        dependencyPlace = new Place();
        registryPlace = new Place();
        serving.reload(config());
        executor = executorPlace.accept();
        assertThat(before.line()).startsWith("METER ");
        before.say(String.format("EXIT 2 %016x OK 5 4\r\npaid\r\n", 102));
        assertThat(caller.answer()).isEqualTo("102 ACK + paid");
        assertThat(executor.line()).isEqualTo("JOIN 2");
        executor.say("WELCOME WARM 900\r\n");
        assertThat(before.command()).as("the old link goes once the new one is welcomed").isNull();
        dependency.say(String.format("%016x HIT 2\r\nok\r\n", 101));
        expectReply(101, "ok");
        callOut(3, 101);
        expectCall(dependencyPlace.accept(), 101);
        assertThat(registryPlace.accept().line()).isEqualTo("PUT /ns/hosts/n1 HTTP/1.1");
        log.drain();
        assertThat(logged.toString(UTF_8))
                .contains("reloaded: ")
                .doesNotContain("can't change", "is lost");
        serving.reload(read(text().replace("15000", "9000").replace("256", "300")));
        log.drain();
        assertThat(logged.toString(UTF_8))
                .contains("reload: stop 15s -> 9s, at once", "stays as it was: limits descriptors");
        assertThat(serving.goesBy().stop()).isEqualTo(NanoDuration.ofSeconds(9));
        assertThat(serving.goesBy().sockets()).isEqualTo(256);
    }

    @Test
    void repliesOfTheDependencyCountForTheCallThatIsOutOnTheirConnectionAlone() throws Exception {
        End caller = callerWithRun();
        callOut(1, 101);
        End dependency = dependencyPlace.accept();
        expectCall(dependency, 101);
        dependency.socket.close();
        dependency = dependencyPlace.accept();
        expectCall(dependency, 101);
        String reply = String.format("%016x HIT 4\r\n\r\n\r\n\r\n", 101);
        dependency.say(
                String.format("%016x SHED\r\n%016x HIT 4\r\nlate\r\n", 7, 8) + reply + reply);
        expectReply(101, "\r\n\r\n");
        callOut(2, 101);
        End second = dependencyPlace.accept();
        expectCall(second, 101);
        caller.say(request(102, "look", "b"));
        expectRun(102, "look", "b");
        callOut(3, 102);
        expectCall(dependency, 102);
        caller.say(array("ABORT", "101"));
        executor.say(String.format("EXIT 4 %016x STOPPED 9 0\r\n\r\n", 101));
        assertThat(second.isOver()).as("a call given up ends its connection").isTrue();
        dependency.say(String.format("%016x HIT 2\r\nok\r\n", 102));
        expectReply(102, "ok");
        assertThat(dependency.isOver()).as("an idle connection soon goes").isTrue();
    }

    @Test
    void aCorruptedReplyCostsItsOwnCallAlone() throws Exception {
        End caller = callerWithRun();
        callOut(1, 101);
        End good = dependencyPlace.accept();
        expectCall(good, 101);
        List<String> corrupted =
                List.of(
                        "HIT 3000000000\r\n",
                        "HIT\r\n",
                        "HIT 1 2\r\n",
                        "SHED 0\r\n",
                        "HIT -1\r\n",
                        "HIT 1\r\nab\r\n",
                        "WHAT\r\n",
                        "x".repeat(5000),
                        "HIT 4\n");
        for (int i = 0; i < corrupted.size(); i++) {
            int tag = 102 + i / 3;
            if (i % 3 == 0) {
                caller.say(request(tag, "look", "b"));
                expectRun(tag, "look", "b");
                callOut(2 + i, tag);
            }
            End dependency = dependencyPlace.accept();
            expectCall(dependency, tag);
            dependency.say(String.format("%016x %s", tag, corrupted.get(i)));
            assertThat(dependency.isOver()).as(corrupted.get(i)).isTrue();
            if (i % 3 == 2) {
                assertThat(caller.answer()).isEqualTo(tag + " FAIL +");
                executor.say(String.format("EXIT %d %016x STOPPED 9 0\r\n\r\n", 2 + i, tag));
            }
            if (i == 2) {
                good.say(String.format("%016x HIT 2\r\nok\r\n", 101));
                expectReply(101, "ok");
                assertThat(good.isOver()).as("idle").isTrue();
            }
        }
    }

    @Test
    void aDependencyThatRefusesIsRequestedAFewTimesAndThenTheRequestIsFailed() throws Exception {
        dependencyPlace.close();
        End caller = callerWithRun();
        executor.say(String.format("CALLOUT 1 %016x 3\r\nask\r\n", 101));
        assertThat(caller.answer()).isEqualTo("101 FAIL +");
    }

    @Test
    void aCallerThatResetsItsConnectionHarmsNoOther() throws Exception {
        End caller = upstream();
        End reset = callerWithRun();
        reset.socket.setSoLinger(true, 0);
        reset.socket.close();
        caller.say(request(102, "look", "b"));
        expectRun(102, "look", "b");
        exit(1, 101, "nobody's");
        exit(2, 102, "done");
        assertThat(caller.answer()).isEqualTo("102 ACK + done");
    }

    @Test
    void theNameServiceHearsAgainAndAgainAlsoWhenItIsSlowOrWasDown() throws Exception {
        assertThat(registryPlace.accept().line())
                .as("never answered")
                .isEqualTo("PUT /ns/hosts/n1 HTTP/1.1");
        End registry = registryPlace.accept();
        assertThat(registry.line()).isEqualTo("PUT /ns/hosts/n1 HTTP/1.1");
        registry.socket.close();
        registry = registryPlace.accept();
        for (int i = 0; i < 2; i++) {
            assertThat(registry.line()).isEqualTo("PUT /ns/hosts/n1 HTTP/1.1");
            while (!registry.line().isEmpty()) {
                // the other headers
            }
            assertThat(registry.bytes(17)).isEqualTo("{\"serving\":\"yes\"}");
            registry.say("HTTP/1.1 204 No Content\r\n\r\n");
        }
    }

    @Test
    void leavingAnswersAllTellsWhoStillComesAndClosesTheListenerOnceNobodyDoes() throws Exception {
        End caller = callerWithRun();
        Thread leaving = leave();
        End late = new End(new Socket(listen.getAddress(), listen.getPort()));
        do {
            late.say(array("HEALTH", "9"));
        } while (!late.answer().startsWith("9 RED"));
        // Requests tell when they came in whole milliseconds: one of this same one might have come
        // before the notice.
        for (long red = System.currentTimeMillis(); System.currentTimeMillis() <= red; ) {
            Thread.onSpinWait();
        }
        late.say(request(102, "look", "late"));
        assertThat(late.answer()).isEqualTo("102 NAK +,holdoff=1000");
        exit(1, 101, "done");
        assertThat(caller.answer()).isEqualTo("101 ACK + done");
        assertThat(caller.answer()).isEqualTo("0 FIN");
        caller.socket.close();
        late.socket.close();
        leaving.join(RESPONSE_TIMEOUT_MS);
        assertThat(leaving.isAlive()).isFalse();
        assertThatThrownBy(() -> new Socket(listen.getAddress(), listen.getPort()))
                .isInstanceOf(ConnectException.class);
    }

    @Test
    void anAddressInUseAndConfigurationsThatCannotBeUsedAreReportedPlainly() throws Exception {
        NodeServer second = new NodeServer(config(), AdmissionController::new, log);
        assertThatThrownBy(second::start).isInstanceOf(IOException.class);
        assertThatThrownBy(() -> NodeConfig.read(directory.resolve("none")))
                .hasMessageContaining("can't read");
        assertThatThrownBy(() -> read("{")).hasMessageContaining("no JSON");
        assertThatThrownBy(() -> read("[]")).hasMessageContaining("no JSON object");
        assertThatThrownBy(() -> read("{\"settings\":{}}"))
                .hasMessageContaining("there is no track");
        assertThatThrownBy(() -> read("{\"settings\":" + SETTINGS + "}"))
                .hasMessageContaining("'name' is missing");
        assertThatThrownBy(
                        () ->
                                read(
                                        "{\"name\":\"n\",\"listen\":\"here\",\"settings\":"
                                                + SETTINGS
                                                + "}"))
                .hasMessageContaining("not what listen takes: here");
        assertThat(config().settings())
                .containsEntry("azs", "a_b,c")
                .containsEntry("domain.class_calls", "true,true")
                .containsEntry("services.count", "2")
                .containsEntry("services.1.name", "pay")
                .containsEntry("customers.0.quota_rps", "54.0")
                .containsEntry("step_ns", "4000000");
    }

    @Test
    void theTimeGoesOnWithinARoundAndRoundsAreAMillisecondApart() throws Exception {
        TimerService deadlines = new TimerService();
        EventLoop eventLoop = new EventLoop(deadlines, System::nanoTime, log);
        RequestProcessor processor =
                new RequestProcessor(
                        config().settings(),
                        1,
                        AdmissionController::new,
                        new RequestProcessor.Ports(null, null, null, log::line),
                        deadlines,
                        new TableLimits(1, 1, 1, 1),
                        eventLoop.time());
        CompletableFuture<NanoDuration> behind = new CompletableFuture<>();
        MonotonicTime begun = eventLoop.time();
        eventLoop.tell(
                () -> {
                    while (eventLoop.time().since(begun).seconds() < 0.5) {
                        // a long piece of news
                    }
                });
        eventLoop.tell(() -> behind.complete(eventLoop.time().since(processor.now())));
        AtomicInteger rounds = new AtomicInteger();
        eventLoop.addWriter(rounds::incrementAndGet);
        eventLoop.start(processor);
        assertThat(behind.get()).isLessThan(NanoDuration.ofSeconds(0.4));
        int before = rounds.get();
        long first = System.nanoTime();
        // News may share a round, so rounds are counted: the first of them may have begun before.
        int counted = 0;
        while (counted < 30) {
            CompletableFuture<Void> heard = new CompletableFuture<>();
            eventLoop.tell(() -> heard.complete(null));
            heard.get();
            counted = rounds.get() - before;
        }
        assertThat(System.nanoTime() - first).isGreaterThanOrEqualTo((counted - 2) * 1_000_000L);
        eventLoop.stop();
    }

    @Test
    void madeUpRequestsAreAnsweredBeforeTheListenerOpens() throws Exception {
        assertThat(WarmUp.play(config().settings(), 1, AdmissionController::new)).isPositive();
        log.drain();
        assertThat(logged.toString(UTF_8)).containsPattern("warmed up by [1-9].*\n.*n1 listens");
    }

    @Test
    void theWarmUpEndsByItsWorkAndOnASlowMachineByTheClock() throws Exception {
        assertThat(WarmUp.play(config().settings(), 1, AdmissionController::new, () -> 0))
                .as("on a machine that takes no time")
                .isBetween(WarmUp.REQUESTS / 2, WarmUp.REQUESTS + WarmUp.AT_ONCE)
                .isLessThan(500);
        AtomicLong clock = new AtomicLong();
        assertThat(
                        WarmUp.play(
                                config().settings(),
                                1,
                                AdmissionController::new,
                                () -> clock.addAndGet(300_000_000)))
                .as("two rounds of 0.3 s fit")
                .isLessThanOrEqualTo(2 * WarmUp.AT_ONCE);
    }

    @Test
    void aFloodOfOneKindOfLineHidesNoOther() {
        Log baseline = new Log(new PrintStream(logged, true), () -> Instant.ofEpochSecond(7));
        for (int i = 0; i < 100; i++) {
            baseline.line("bounce " + i);
        }
        baseline.line("the rare one\nin two");
        baseline.drain();
        assertThat(logged.toString(UTF_8).lines().filter(line -> line.startsWith("1970")))
                .hasSize(6)
                .last()
                .isEqualTo("1970-01-01T00:00:07Z the rare one in two");
    }

    @Test
    void whatComesThroughTheListenerTheTimeItOpensIsAnswered() throws Exception {
        int port;
        try (Place free = new Place()) {
            port = free.socket.getLocalPort();
        }
        AtomicReference<Socket> first = new AtomicReference<>();
        // Each line of the log asks the time: at the first after the listener is open, somebody is
        // there.
        Log early =
                new Log(
                        new PrintStream(logged, true),
                        () -> {
                            if (first.get() == null) {
                                try {
                                    Socket socket =
                                            new Socket(InetAddress.getLoopbackAddress(), port);
                                    socket.getOutputStream()
                                            .write(
                                                    array("HEALTH", "1")
                                                            .getBytes(StandardCharsets.ISO_8859_1));
                                    first.set(socket);
                                    Thread.sleep(
                                            100); // time for a node to go wrong that isn't ready
                                } catch (IOException e) {
                                    // Not open yet.
                                } catch (InterruptedException e) {
                                    Thread.currentThread().interrupt();
                                }
                            }
                            return Instant.now();
                        });
        NodeServer other =
                new NodeServer(
                        read(text().replace(":" + listen.getPort(), ":" + port)),
                        AdmissionController::new,
                        early);
        other.start();
        assertThat(new End(first.get()).answer()).startsWith("1 RED");
        other.leave();
    }
}
