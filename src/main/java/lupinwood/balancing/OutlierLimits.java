package lupinwood.balancing;

import lupinwood.admission.NanoDuration;

/**
 * What a pool goes by.
 *
 * @param mostOut how many may be out to one server at the most
 * @param failures so many in a row leave a server out
 * @param leftOutFirst how long a server is left out the first time; twice as long each time after,
 *     until it does well
 * @param leftOutMost and no longer than this
 * @param repeatShare tries made again, for each first one
 */
public record OutlierLimits(
        int mostOut,
        int failures,
        NanoDuration leftOutFirst,
        NanoDuration leftOutMost,
        double repeatShare) {
    public static final OutlierLimits USUAL =
            new OutlierLimits(32, 4, NanoDuration.ofSeconds(0.5), NanoDuration.ofSeconds(30), 0.1);
}
