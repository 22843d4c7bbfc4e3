package lupinwood.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.converters.BaseConverter;
import java.io.IOException;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import lupinwood.admission.AdmissionController;
import lupinwood.load.Loader;
import lupinwood.load.Reloader;
import lupinwood.load.SharedConfigApplier;
import lupinwood.load.StartupConfig;
import lupinwood.log.LibraryLogs;
import lupinwood.log.Log;
import lupinwood.net.NodeConfig;
import lupinwood.net.NodeServer;
import lupinwood.reload.FileFingerprint;
import lupinwood.settings.Schema;

/**
 * Runs one real node until SIGTERM, then leaves in good order; SIGHUP has it read its configuration
 * again.
 */
@Parameters(
        commandDescription =
                "Serve as a node, on sockets, until SIGTERM; SIGHUP reads the configuration"
                        + " again and moves to the addresses of executor, index and naming that it then has")
class Serve implements Command {
    private static final int UNUSABLE = 2;
    private static final int FAILED = 1;

    @Parameter(
            names = "--config",
            description = "The node's configuration; else what RELAY_CONFIG names")
    private String file;

    @Parameter(
            names = "--operator",
            description =
                    "The operator's own entries beside the platform's configuration,"
                            + " in the language of 'config'")
    private String operator;

    @Parameter(
            names = "--watch",
            converter = WatchingConverter.class,
            description =
                    "Reload when the configuration's files change: 'on', 'off', or"
                            + " 'auto', which is on where SIGHUP can't be heard")
    private Watching watching = Watching.AUTO;

    /** Whether changed files are reason enough to read them. */
    enum Watching {
        AUTO("AUTO"),
        ON("ON"),
        OFF("OFF");

        private final String word;

        Watching(String word) {
            this.word = word;
        }

        /** As the command line has it, which the usage text prints too. */
        @Override
        public String toString() {
            return word;
        }
    }

    /** Takes the words as they are, or in small letters. */
    static final class WatchingConverter extends BaseConverter<Watching> {
        /**
         * For one option.
         *
         * @param optionName as errors call it
         */
        public WatchingConverter(String optionName) {
            super(optionName);
        }

        @Override
        public Watching convert(String value) {
            Set<Watching> all = EnumSet.allOf(Watching.class);
            return all.stream()
                    .filter(each -> each.word.equals(value.toUpperCase(Locale.ROOT)))
                    .findFirst()
                    .orElseThrow(
                            () ->
                                    new ParameterException(
                                            "Invalid value for "
                                                    + getOptionName()
                                                    + " parameter. Allowed values:"
                                                    + all));
        }
    }

    /** The exit status; other than 0 where it could not start. */
    private volatile int endsWith;

    @Override
    public int run() {
        SignalRelay hangup = new SignalRelay();
        // First of all: unheard, the signal would end the process.
        boolean heard = HangupSignal.onEach(hangup::signal);
        String path = file != null ? file : System.getenv("RELAY_CONFIG");
        if (path == null || path.isEmpty()) {
            System.err.println("lupinwood: no configuration: give --config or set RELAY_CONFIG");
            return UNUSABLE;
        }
        Loader loader = new Loader(Path.of(path), operator == null ? null : Path.of(operator));
        FileFingerprint looked = loader.look();
        Loader.Loaded loaded;
        try {
            loaded = loader.load();
        } catch (NodeConfig.UnusableConfiguration e) {
            System.err.println("lupinwood: " + e.getMessage());
            return UNUSABLE;
        }
        NodeConfig config = loaded.config();
        Log log = Log.start();
        LibraryLogs.sendTo(log);
        if (config.doubtful() != null) {
            log.line("in doubt, and served all the same: " + config.doubtful());
        }
        boolean inFleet = !config.parsedSettings().items(Schema.VOTER).isEmpty();
        Object startup =
                inFleet
                        ? StartupConfig.ask(loader, config, log)
                        : null; // its class isn't loaded without a fleet
        if (inFleet) {
            config = ((StartupConfig) startup).config();
        }
        NodeServer node = new NodeServer(config, AdmissionController::new, log);
        // The same way out as by SIGTERM.
        node.onDrainRequested(() -> new Thread(() -> System.exit(0), "asked to leave").start());
        boolean watches = watching == Watching.ON || (watching == Watching.AUTO && !heard);
        Reloader reads = new Reloader(loader, loaded, looked, watches, node, log);
        if (inFleet) {
            node.onText(SharedConfigApplier.of(loader, reads, node, (StartupConfig) startup, log));
        }
        hangup.to(reads::signal);
        // Before the listener opens: the notice to leave may come at any time.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> leave(node, log), "leave"));
        try {
            if (node.start()) {
                reads.start();
                log.line(triggers(heard, watches));
            }
        } catch (IOException e) {
            // The library's own message says no more than where.
            Throwable cause = e.getCause() == null ? e : e.getCause();
            System.err.println(
                    "lupinwood: can't listen on " + config.listen() + ": " + cause.getMessage());
            endsWith = FAILED;
            return FAILED;
        }
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return 0;
    }

    /** What makes this node read its configuration again. */
    private static String triggers(boolean heard, boolean watches) {
        String signal =
                heard
                        ? "reloads on SIGHUP"
                        : "can't hear SIGHUP, which was ignored when this process was started; reloads";
        String files =
                watches ? (heard ? ", and" : "") + " when its configuration's files change" : "";
        return signal + (heard || watches ? files : " on nothing");
    }

    /**
     * Runs on SIGTERM. Halting, and not returning, ends the process with 0: all went as it was
     * asked to.
     */
    private void leave(NodeServer serving, Log log) {
        try {
            serving.leave();
        } catch (InterruptedException e) {
            endsWith = FAILED;
        }
        log.drain();
        Runtime.getRuntime().halt(endsWith);
    }
}
