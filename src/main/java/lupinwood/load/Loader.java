package lupinwood.load;

import java.nio.file.Path;
import java.util.List;
import lupinwood.net.NodeConfig;
import lupinwood.reload.Look;

/** Reads a node's configuration from where it stands. */
public final class Loader {
    /**
     * A configuration that can be used.
     *
     * @param files all that it was read from
     * @param provesWhole whether its form would show that its end is missing
     */
    public record Loaded(NodeConfig config, List<Path> files, boolean provesWhole) {}

    private final Path file;

    public Loader(Path file) {
        this.file = file;
    }

    public Loaded load() throws NodeConfig.Unusable {
        return new Loaded(NodeConfig.read(file), List.of(file), true);
    }

    /** What the files look like now. */
    public Look look() {
        return FileLooks.at(List.of(file));
    }
}
