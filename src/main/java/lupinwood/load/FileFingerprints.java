package lupinwood.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.List;
import java.util.concurrent.TimeUnit;
import lupinwood.admission.MonotonicTime;
import lupinwood.reload.FileFingerprint;

/** Looks at files: one question to the file system each, and no descriptor kept. */
final class FileFingerprints {
    private FileFingerprints() {}

    /** A file that is gone, or can't be looked at, looks like no other. */
    static FileFingerprint at(List<Path> files) {
        StringBuilder marks = new StringBuilder();
        long changed = 0;
        for (Path file : files) {
            try {
                BasicFileAttributes now = Files.readAttributes(file, BasicFileAttributes.class);
                long nanos = now.lastModifiedTime().to(TimeUnit.NANOSECONDS);
                changed = Math.max(changed, nanos);
                marks.append(nanos)
                        .append(' ')
                        .append(now.size())
                        .append(' ')
                        .append(now.fileKey())
                        .append('\n');
            } catch (IOException e) {
                marks.append(e.getClass().getSimpleName()).append('\n');
            }
        }
        return new FileFingerprint(marks.toString(), new MonotonicTime(changed));
    }
}
