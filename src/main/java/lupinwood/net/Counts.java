package lupinwood.net;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lupinwood.core.Answer;
import lupinwood.core.Answers;
import lupinwood.fleet.Tally;
import lupinwood.node.Span;

/**
 * What this node answered, by track, for the fleet. Belongs to the deciding thread; what it tells
 * is a copy.
 */
final class Counts implements Answers {
    private static final class Row {
        long satisfied;
        long late;
        long bounced;
        long abandoned;
        double seconds;
    }

    private final Map<String, Row> rows = new LinkedHashMap<>();

    @Override
    public void answered(String track, Answer.Word word, Span took, boolean late) {
        String named =
                rows.containsKey(track) || rows.size() < Tally.MOST_TRACKS ? track : Tally.OTHERS;
        Row row = rows.computeIfAbsent(named, none -> new Row());
        if (word == Answer.Word.SATISFIED) {
            row.satisfied++;
            row.late += late ? 1 : 0;
            row.seconds += took.seconds();
        } else if (word == Answer.Word.BOUNCED) {
            row.bounced++;
        } else {
            row.abandoned++;
        }
    }

    Tally tally() {
        List<Tally.Count> counts = new ArrayList<>();
        rows.forEach(
                (track, row) ->
                        counts.add(
                                new Tally.Count(
                                        track,
                                        row.satisfied,
                                        row.late,
                                        row.bounced,
                                        row.abandoned,
                                        row.seconds)));
        return new Tally(List.copyOf(counts));
    }
}
