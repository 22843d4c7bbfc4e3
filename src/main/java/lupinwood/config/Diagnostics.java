package lupinwood.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The mistakes found so far, in a number that somebody can read. */
public final class Diagnostics {
    private static final int MOST = 200;

    private final List<Diagnostic> found = new ArrayList<>();
    private int more;

    void add(SourcePosition place, String text, String instead) {
        if (found.size() < MOST) {
            found.add(new Diagnostic(place, text, instead));
        } else {
            more++;
        }
    }

    public boolean isEmpty() {
        return found.isEmpty();
    }

    /** How many were left out. */
    public int more() {
        return more;
    }

    /** File by file, in the order of lines. */
    public List<Diagnostic> all() {
        List<String> files =
                found.stream().map(diagnostic -> diagnostic.place().file()).distinct().toList();
        return found.stream()
                .sorted(
                        Comparator.<Diagnostic>comparingInt(p -> files.indexOf(p.place().file()))
                                .thenComparingInt(p -> p.place().line())
                                .thenComparingInt(p -> p.place().column()))
                .toList();
    }
}
