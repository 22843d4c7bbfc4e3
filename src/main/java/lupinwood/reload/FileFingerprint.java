package lupinwood.reload;

import lupinwood.admission.MonotonicTime;

/**
 * What a look at the files of a configuration showed, without reading them.
 *
 * @param marks changes whenever one of the files was written to or replaced; compared, never read
 * @param changed when the latest of them says that it was written to last
 */
public record FileFingerprint(String marks, MonotonicTime changed) {
    public static final FileFingerprint NOTHING = new FileFingerprint("", new MonotonicTime(0));
}
