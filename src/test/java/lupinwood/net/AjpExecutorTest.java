package lupinwood.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.io.PrintStream;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import lupinwood.admission.AdmissionController;
import lupinwood.admission.NanoDuration;
import lupinwood.log.Log;
import lupinwood.processing.AttemptId;
import lupinwood.processing.RequestProcessor;
import lupinwood.processing.TableLimits;
import lupinwood.processing.TimerService;
import lupinwood.settings.ParsedSettings;
import org.junit.jupiter.api.Test;

/** What runs at servers hold while no server may have them. */
final class AjpExecutorTest {
    private static final int RUNS = 200;

    private final TimerService timers = new TimerService();
    private final Log log = new Log(new PrintStream(OutputStream.nullOutputStream()), Instant::now);
    private final EventLoop eventLoop = new EventLoop(timers, () -> 0, log);
    private final AjpExecutor servers =
            new AjpExecutor(
                    new ParsedSettings(
                            Map.of("server", List.of("s1")),
                            Map.of(
                                    "server s1 address", "127.0.0.1:1",
                                    "server s1 secret", "",
                                    "server s1 tracks", "look",
                                    "track look abandon-time", "25000000000",
                                    "track look effect", "pure")),
                    1,
                    new LinkContext(null, eventLoop, timers, log));

    /**
     * Guards against a heap full of timers while a server is down: a run that waits is offered to
     * the servers each time that another one ends, and waits again. It has one timer, however often
     * that happens, and none once its time is over.
     */
    @Test
    void runThatWaitsAgainAndAgainHasOneTimer() {
        RequestProcessor processor =
                new RequestProcessor(
                        Map.of(),
                        1,
                        AdmissionController::new,
                        new RequestProcessor.Ports(null, null, null, log::line),
                        timers,
                        new TableLimits(1, 1, 1, 1),
                        eventLoop.time());
        servers.serve(processor);
        servers.allow(0); // no connection: each run waits
        for (int i = 0; i < RUNS; i++) {
            servers.run(new AttemptId(String.format("%016x", i)), "look", new byte[0]);
        }
        for (int i = 0; i < 100; i++) {
            servers.shared();
        }
        assertThat(timers.size()).isEqualTo(RUNS);
        timers.runDue(eventLoop.time().plus(NanoDuration.ofSeconds(26)));
        assertThat(timers.size()).isZero();
    }
}
