package lupinwood.log;

import org.slf4j.Marker;
import org.slf4j.event.Level;
import org.slf4j.helpers.LegacyAbstractLogger;
import org.slf4j.helpers.MessageFormatter;

/** What a library says through slf4j, from warnings up, as lines of the project's log. */
final class LibraryLog extends LegacyAbstractLogger {
    private static final long serialVersionUID = 1L;

    LibraryLog(String name) {
        this.name = name;
    }

    @Override
    public boolean isTraceEnabled() {
        return false;
    }

    @Override
    public boolean isDebugEnabled() {
        return false;
    }

    @Override
    public boolean isInfoEnabled() {
        return false;
    }

    @Override
    public boolean isWarnEnabled() {
        return true;
    }

    @Override
    public boolean isErrorEnabled() {
        return true;
    }

    @Override
    protected String getFullyQualifiedCallerName() {
        return null;
    }

    @Override
    protected void handleNormalizedLoggingCall(
            Level level, Marker marker, String text, Object[] arguments, Throwable thrown) {
        String line = name + " " + MessageFormatter.basicArrayFormat(text, arguments);
        if (thrown == null) {
            LibraryLogs.log().line(line);
        } else {
            LibraryLogs.log().problem(line, thrown);
        }
    }
}
