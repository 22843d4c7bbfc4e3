package lupinwood.net;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The descriptors of this process, as the system counts them. */
final class OpenFiles {
    private static final Path LIMITS = Path.of("/proc/self/limits");
    private static final File OPEN = new File("/proc/self/fd");
    private static final String SAYS = "Max open files";

    /**
     * As many as the JVM and the selectors were seen to have, from one jar, where the system
     * doesn't tell.
     */
    private static final int USUALLY = 20;

    private OpenFiles() {}

    /** How many are open now. */
    static int count() {
        String[] open = OPEN.list();
        return open == null ? USUALLY : open.length;
    }

    /**
     * How many may be, as the system has it; the most of an int where it sets no bound or doesn't
     * tell.
     */
    static int limit() {
        try {
            for (String line : Files.readAllLines(LIMITS)) {
                if (line.startsWith(SAYS)) {
                    String soft = line.substring(SAYS.length()).strip().split(" +", 0)[0];
                    return soft.matches("\\d{1,9}") ? Integer.parseInt(soft) : Integer.MAX_VALUE;
                }
            }
        } catch (IOException e) {
            return Integer.MAX_VALUE;
        }
        return Integer.MAX_VALUE;
    }
}
