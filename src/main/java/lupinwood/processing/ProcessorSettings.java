package lupinwood.processing;

import java.util.List;
import lupinwood.admission.NanoDuration;
import lupinwood.admission.SettingsMap;

/** What the request processor reads of the settings once, when it is made. */
final class ProcessorSettings {
    /** How long a connection may be idle where the settings don't say. */
    private static final NanoDuration DEFAULT_LONGEST_IDLE = NanoDuration.ofSeconds(3600);

    private ProcessorSettings() {}

    /** Upstream load balancers close idle connections by then; what is left was forgotten. */
    static NanoDuration longestIdle(SettingsMap settings) {
        NanoDuration longestIdle = settings.duration("domain.keepalive_max_ns");
        return longestIdle.isPositive() ? longestIdle : DEFAULT_LONGEST_IDLE;
    }

    /** The names of the values of resource usage, in the order in which the executor gives them. */
    static List<String> resourceUsageNames(SettingsMap settings) {
        String names = settings.text("domain.gauges");
        return names.isEmpty() ? List.of() : List.of(names.split(","));
    }
}
