package lupinwood.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import lupinwood.Brain;
import lupinwood.log.LibraryLogs;
import lupinwood.log.Log;
import lupinwood.net.NodeConfig;
import lupinwood.net.Serving;

/**
 * Runs one real node until SIGTERM, then leaves in good order; SIGHUP has it read its configuration again.
 */
@Parameters(commandDescription = "Serve as a node, on sockets, until SIGTERM; SIGHUP reads the configuration"
        + " again and moves to the addresses of executor, index and naming that it then has")
final class Serve implements Command {
    private static final int UNUSABLE = 2;
    private static final int FAILED = 1;

    @Parameter(names = "--config", description = "The node's configuration; else what RELAY_CONFIG names")
    private String file;

    /** Null before the node serves. */
    private volatile Serving serving;

    @Override
    public int run() {
        String path = file != null ? file : System.getenv("RELAY_CONFIG");
        if (path == null || path.isEmpty()) {
            System.err.println("lupinwood: no configuration: give --config or set RELAY_CONFIG");
            return UNUSABLE;
        }
        NodeConfig config;
        try {
            config = NodeConfig.read(Path.of(path));
        } catch (NodeConfig.Unusable e) {
            System.err.println("lupinwood: " + e.getMessage());
            return UNUSABLE;
        }
        Log log = Log.start();
        LibraryLogs.sendTo(log);
        Hangup.onEach(() -> reload(Path.of(path), log));
        Serving node = new Serving(config, Brain::new, log);
        try {
            node.start();
        } catch (IOException e) {
            // The library's own message says no more than where.
            Throwable cause = e.getCause() == null ? e : e.getCause();
            System.err.println("lupinwood: can't listen on " + config.listen() + ": " + cause.getMessage());
            return FAILED;
        }
        serving = node;
        Runtime.getRuntime().addShutdownHook(new Thread(() -> leave(node, log), "leave"));
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return 0;
    }

    /** Runs on SIGHUP. What can't be used changes nothing; one line of the log names it. */
    private void reload(Path path, Log log) {
        Serving node = serving;
        try {
            NodeConfig next = NodeConfig.read(path);
            if (node != null) {
                node.reload(next);
            }
        } catch (NodeConfig.Unusable e) {
            log.line("nothing reloaded: " + e.getMessage());
        }
    }

    /** Runs on SIGTERM. Halting, and not returning, ends the process with 0: all went as it was asked to. */
    private static void leave(Serving serving, Log log) {
        int status = 0;
        try {
            serving.leave();
        } catch (InterruptedException e) {
            status = FAILED;
        }
        log.drain();
        Runtime.getRuntime().halt(status);
    }
}
