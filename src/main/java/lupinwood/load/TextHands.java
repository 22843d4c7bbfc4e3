package lupinwood.load;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import lupinwood.council.Hands;
import lupinwood.fleet.Report;
import lupinwood.log.Log;
import lupinwood.net.NodeConfig;
import lupinwood.net.Serving;
import lupinwood.reload.Plan;
import lupinwood.settings.Change;

/**
 * Lays the fleet's text over a node's own files, as far as its own plan allows: wholly while it
 * runs, or wholly with its next start, or not at all. All on the thread that reads configurations.
 */
public final class TextHands implements Hands {
    private final Loader loader;
    private final Reloader reloader;
    private final Serving serving;
    private final TextAtStart atStart;
    private final Log log;

    private TextHands(
            Loader loader, Reloader reloader, Serving serving, TextAtStart atStart, Log log) {
        this.loader = loader;
        this.reloader = reloader;
        this.serving = serving;
        this.atStart = atStart;
        this.log = log;
    }

    /**
     * Made once it is asked for, and here: a method of the command whose signature names the
     * interface would have it loaded in each node, since the command's methods are looked through
     * for options.
     *
     * @param atStart what was agreed before the node started
     */
    public static Supplier<Hands> of(
            Loader loader, Reloader reloader, Serving serving, TextAtStart atStart, Log log) {
        return () -> new TextHands(loader, reloader, serving, atStart, log);
    }

    @Override
    public String runs() {
        return atStart.digest();
    }

    @Override
    public List<String> restsAtStart() {
        return atStart.rests();
    }

    @Override
    public void check(String digest, String text, Consumer<Report.Checked> done) {
        reloader.job(() -> done.accept(check(digest, text)));
    }

    private Report.Checked check(String digest, String text) {
        try {
            Plan plan = plan(read(digest, text));
            if (plan.isRefused()) {
                return new Report.Checked(
                        digest,
                        false,
                        false,
                        plan.steps().stream()
                                .filter(step -> step.change() == Change.REFUSED)
                                .map(step -> step.name() + ": " + step.because())
                                .collect(Collectors.joining("; ")));
            }
            return new Report.Checked(digest, true, restarts(plan), "");
        } catch (NodeConfig.Unusable e) {
            return new Report.Checked(digest, false, false, e.getMessage());
        } catch (RuntimeException e) {
            log.problem("the fleet's text can't be checked", e);
            return new Report.Checked(digest, false, false, "a fault of the program");
        }
    }

    private static Common read(String digest, String text) throws NodeConfig.Unusable {
        Common common = Common.read(text);
        if (!common.digest().equals(digest)) {
            throw new NodeConfig.Unusable(
                    "this build reads the text as " + common.digest() + ", not as " + digest);
        }
        return common;
    }

    private Plan plan(Common common) throws NodeConfig.Unusable {
        return Plan.between(serving.goesBy().meaning(), common.onto(loader.own()).meaning());
    }

    private static boolean restarts(Plan plan) {
        return plan.steps().stream().anyMatch(step -> step.change() == Change.RESTART);
    }

    @Override
    public void take(String digest, String text, Consumer<String> done) {
        reloader.job(() -> done.accept(take(digest, text)));
    }

    private String take(String digest, String text) {
        Report.Checked checked = check(digest, text);
        if (!checked.fits() || checked.restarts()) {
            return checked.fits() ? "it counts after a restart" : checked.why();
        }
        try {
            Common common = read(digest, text);
            NodeConfig next = common.onto(loader.own());
            serving.reload(next);
            if (!Plan.between(serving.goesBy().meaning(), next.meaning()).isEmpty()) {
                return "the node was told to leave";
            }
            loader.lay(common);
            return "";
        } catch (NodeConfig.Unusable e) {
            return e.getMessage();
        }
    }
}
