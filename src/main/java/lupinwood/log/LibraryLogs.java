package lupinwood.log;

import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.helpers.NOPMDCAdapter;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/** Found by slf4j as its provider. */
public final class LibraryLogs implements SLF4JServiceProvider {
    private static volatile Log log;

    private final IMarkerFactory markers = new BasicMarkerFactory();
    private final MDCAdapter context = new NOPMDCAdapter();

    /** Sends what libraries say to this log. */
    public static void sendTo(Log target) {
        log = target;
    }

    static synchronized Log log() {
        if (log == null) {
            log = Log.start();
        }
        return log;
    }

    @Override
    public ILoggerFactory getLoggerFactory() {
        return LibraryLog::new;
    }

    @Override
    public IMarkerFactory getMarkerFactory() {
        return markers;
    }

    @Override
    public MDCAdapter getMDCAdapter() {
        return context;
    }

    @Override
    public String getRequestedApiVersion() {
        return "2.0.99";
    }

    @Override
    public void initialize() {
        // Nothing to prepare: the log is given, or started at its first line.
    }
}
