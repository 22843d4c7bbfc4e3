package lupinwood.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.time.Instant;
import lupinwood.admission.NanoDuration;
import lupinwood.consensus.FaultInjection;
import lupinwood.log.WallClock;

/** The laboratory's launcher: a node as by 'serve', in a process in which something is wrong. */
@Parameters(
        commandDescription =
                "Serve as a node with a wrong clock or a slow folder, for the laboratory",
        hidden = true)
final class ExperimentNode extends Serve {
    @Parameter(names = "--shift-ms", description = "How far the wall clock is off, in milliseconds")
    private long shiftMillis;

    @Parameter(
            names = "--step-after-ms",
            description = "From so long after the start the wall clock is right; 0 for never")
    private long stepAfterMillis;

    @Parameter(
            names = "--sync-takes-ms",
            description = "How much longer a write to the folder takes, in milliseconds")
    private long syncTakesMillis;

    @Parameter(names = "--without-early-stop", description = "Count leases from when they come")
    private boolean withoutEarlyStop;

    @Parameter(names = "--program", description = "What the program says that it is")
    private String program;

    @Parameter(names = "--fails-at-start", description = "End with 1 at once")
    private boolean failsAtStart;

    @Override
    public int run() {
        if (failsAtStart) {
            return 1;
        }
        FaultInjection.overrideProgramVersion(program);
        long begun = System.nanoTime();
        WallClock.readFrom(
                () -> {
                    boolean right =
                            stepAfterMillis > 0
                                    && System.nanoTime() - begun > stepAfterMillis * 1_000_000;
                    return right ? Instant.now() : Instant.now().plusMillis(shiftMillis);
                });
        FaultInjection.setSyncDelay(NanoDuration.ofSeconds(syncTakesMillis / 1000.0));
        if (withoutEarlyStop) {
            FaultInjection.countLeasesFromReply();
        }
        return super.run();
    }
}
