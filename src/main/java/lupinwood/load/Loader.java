package lupinwood.load;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import lupinwood.net.NodeConfig;
import lupinwood.reload.FileFingerprint;

/**
 * Reads a node's configuration from where it stands: the platform's JSON, or the language of the
 * operators.
 */
public final class Loader {
    /**
     * A configuration that can be used.
     *
     * @param files all that it was read from
     * @param provesWhole whether its form would show that its end is missing
     */
    public record Loaded(NodeConfig config, List<Path> files, boolean provesWhole) {}

    private final Path file;

    /** The operator's own entries beside the platform's JSON, or null. */
    private final Path operator;

    /** What all nodes of a fleet have over their own files; null for nothing. */
    private volatile SharedConfig common;

    /** As the files alone said it last. */
    private volatile NodeConfig own;

    public Loader(Path file, Path operator) {
        this.file = file;
        this.operator = operator;
    }

    /** Whether a file is written in the language, by its name. */
    public static boolean isLanguage(Path file) {
        return file.toString().endsWith(".kdl");
    }

    /** What the files say, with what all nodes of the fleet have over it. */
    public Loaded load() throws NodeConfig.UnusableConfiguration {
        Loaded read = read();
        own = read.config();
        return common == null
                ? read
                : new Loaded(common.onto(read.config()), read.files(), read.provesWhole());
    }

    /** From now on that is laid over the files. */
    void lay(SharedConfig over) {
        common = over;
    }

    /** As the files alone said it when they were read last. */
    NodeConfig own() {
        return own;
    }

    private Loaded read() throws NodeConfig.UnusableConfiguration {
        if (!isLanguage(file) && operator == null) {
            return new Loaded(NodeConfig.read(file), List.of(file), true);
        }
        // A class of its own, so that the language isn't loaded where it isn't used.
        return LanguageLoader.load(file, operator);
    }

    /** What the files look like now, as far as they are known before any is read. */
    public FileFingerprint look() {
        List<Path> files = new ArrayList<>(List.of(file));
        if (operator != null) {
            files.add(operator);
        }
        return FileFingerprints.at(files);
    }
}
