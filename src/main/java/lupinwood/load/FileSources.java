package lupinwood.load;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import lupinwood.config.Sources;

/**
 * Texts from files. What is included must be a file in the folder of the first one or below, by its
 * real path, so that no link leads out of it.
 */
public final class FileSources implements Sources {
    private final List<Path> read = new ArrayList<>();
    private Path root;

    /** All files asked for so far, also those that couldn't be read. */
    public List<Path> files() {
        return List.copyOf(read);
    }

    @Override
    public String resolve(String from, String included) throws Unreadable {
        try {
            Path path = Path.of(included);
            if (from.isEmpty()) {
                Path directory = path.toAbsolutePath().getParent();
                root = Files.exists(directory) ? directory.toRealPath() : directory;
                return path.toString();
            }
            if (path.isAbsolute()) {
                throw new Unreadable(
                        "an included file's path begins at the file that includes it: " + included);
            }
            Path parent = Path.of(from).getParent();
            return (parent == null ? path : parent.resolve(path)).normalize().toString();
        } catch (InvalidPathException | IOException e) {
            throw new Unreadable("this is no path of a file: " + included);
        }
    }

    @Override
    public byte[] read(String name, int most) throws Unreadable {
        Path path = Path.of(name);
        read.add(path);
        try {
            if (!Files.exists(path)) {
                throw new Unreadable("there is no file " + name);
            }
            if (!Files.isRegularFile(path)) {
                throw new Unreadable(
                        name + " is no file" + (Files.isDirectory(path) ? " but a folder" : ""));
            }
            if (read.size() > 1 && !path.toRealPath().startsWith(root)) {
                throw new Unreadable(name + " leads out of the folder of the first file");
            }
            try (InputStream in = Files.newInputStream(path)) {
                byte[] bytes = in.readNBytes(most + 1);
                if (bytes.length > most) {
                    throw new Unreadable(
                            name + " is larger than the " + most + " bytes that are left for it");
                }
                return bytes;
            }
        } catch (IOException e) {
            throw new Unreadable("can't read " + name + ": " + e.getClass().getSimpleName());
        }
    }
}
