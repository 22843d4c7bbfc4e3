package lupinwood.load;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import lupinwood.cluster.NodeReport;
import lupinwood.consensus.ConfigApplier;
import lupinwood.log.Log;
import lupinwood.net.NodeConfig;
import lupinwood.net.NodeServer;
import lupinwood.reload.ConfigDiff;
import lupinwood.settings.ChangeEffect;

/**
 * Lays the fleet's text over a node's own files, as far as its own plan allows: wholly while it
 * runs, or wholly with its next start, or not at all. All on the thread that reads configurations.
 */
public final class SharedConfigApplier implements ConfigApplier {
    private final Loader loader;
    private final Reloader reloader;
    private final NodeServer serving;
    private final StartupConfig atStart;
    private final Log log;

    private SharedConfigApplier(
            Loader loader, Reloader reloader, NodeServer serving, StartupConfig atStart, Log log) {
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
    public static Supplier<ConfigApplier> of(
            Loader loader, Reloader reloader, NodeServer serving, StartupConfig atStart, Log log) {
        return () -> new SharedConfigApplier(loader, reloader, serving, atStart, log);
    }

    @Override
    public String runs() {
        return atStart.digest();
    }

    @Override
    public List<String> cordonsAtStart() {
        return atStart.cordons();
    }

    @Override
    public void check(String digest, String text, Consumer<NodeReport.ConfigCheck> done) {
        reloader.job(() -> done.accept(check(digest, text)));
    }

    private NodeReport.ConfigCheck check(String digest, String text) {
        try {
            ConfigDiff diff = plan(read(digest, text));
            if (diff.isRefused()) {
                return new NodeReport.ConfigCheck(
                        digest,
                        false,
                        false,
                        diff.steps().stream()
                                .filter(step -> step.change() == ChangeEffect.REFUSED)
                                .map(step -> step.name() + ": " + step.because())
                                .collect(Collectors.joining("; ")));
            }
            return new NodeReport.ConfigCheck(digest, true, restarts(diff), "");
        } catch (NodeConfig.UnusableConfiguration e) {
            return new NodeReport.ConfigCheck(digest, false, false, e.getMessage());
        } catch (RuntimeException e) {
            log.problem("the fleet's text can't be checked", e);
            return new NodeReport.ConfigCheck(digest, false, false, "a fault of the program");
        }
    }

    private static SharedConfig read(String digest, String text)
            throws NodeConfig.UnusableConfiguration {
        SharedConfig common = SharedConfig.read(text);
        if (!common.digest().equals(digest)) {
            throw new NodeConfig.UnusableConfiguration(
                    "this build reads the text as " + common.digest() + ", not as " + digest);
        }
        return common;
    }

    private ConfigDiff plan(SharedConfig common) throws NodeConfig.UnusableConfiguration {
        return ConfigDiff.between(
                serving.goesBy().parsedSettings(), common.onto(loader.own()).parsedSettings());
    }

    private static boolean restarts(ConfigDiff diff) {
        return diff.steps().stream().anyMatch(step -> step.change() == ChangeEffect.RESTART);
    }

    @Override
    public void take(String digest, String text, Consumer<String> done) {
        reloader.job(() -> done.accept(take(digest, text)));
    }

    private String take(String digest, String text) {
        NodeReport.ConfigCheck checked = check(digest, text);
        if (!checked.usable() || checked.needsRestart()) {
            return checked.usable() ? "it counts after a restart" : checked.why();
        }
        try {
            SharedConfig common = read(digest, text);
            NodeConfig next = common.onto(loader.own());
            serving.reload(next);
            if (!ConfigDiff.between(serving.goesBy().parsedSettings(), next.parsedSettings())
                    .isEmpty()) {
                return "the node was told to leave";
            }
            loader.lay(common);
            return "";
        } catch (NodeConfig.UnusableConfiguration e) {
            return e.getMessage();
        }
    }
}
