package lupinwood.net;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lupinwood.admission.NanoDuration;
import lupinwood.cluster.RequestCounts;
import lupinwood.processing.Response;
import lupinwood.processing.ResponseListener;

/**
 * What this node answered, by request class, for the fleet. Belongs to the event loop thread; what
 * it tells is a copy.
 */
final class RequestCounters implements ResponseListener {
    private static final class Row {
        long served;
        long late;
        long rejected;
        long failed;
        double seconds;
    }

    private final Map<String, Row> rows = new LinkedHashMap<>();

    @Override
    public void answered(String className, Response.Kind word, NanoDuration took, boolean late) {
        String named =
                rows.containsKey(className) || rows.size() < RequestCounts.MAX_REQUEST_CLASSES
                        ? className
                        : RequestCounts.OTHER_CLASSES;
        Row row = rows.computeIfAbsent(named, none -> new Row());
        if (word == Response.Kind.SERVED) {
            row.served++;
            row.late += late ? 1 : 0;
            row.seconds += took.seconds();
        } else if (word == Response.Kind.REJECTED) {
            row.rejected++;
        } else {
            row.failed++;
        }
    }

    RequestCounts tally() {
        List<RequestCounts.ClassCounts> counts = new ArrayList<>();
        rows.forEach(
                (className, row) ->
                        counts.add(
                                new RequestCounts.ClassCounts(
                                        className,
                                        row.served,
                                        row.late,
                                        row.rejected,
                                        row.failed,
                                        row.seconds)));
        return new RequestCounts(List.copyOf(counts));
    }
}
