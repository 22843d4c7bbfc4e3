package lupinwood.council;

import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lupinwood.fleet.Beat;
import lupinwood.fleet.Book;
import lupinwood.fleet.Condition;
import lupinwood.fleet.Deed;
import lupinwood.fleet.DutyName;
import lupinwood.fleet.Finding;
import lupinwood.fleet.Grant;
import lupinwood.fleet.NodeName;
import lupinwood.fleet.Release;
import lupinwood.fleet.Reply;
import lupinwood.fleet.Report;
import lupinwood.fleet.Seen;
import lupinwood.fleet.Standing;
import lupinwood.fleet.Tally;
import lupinwood.fleet.Token;
import lupinwood.node.Span;

/** What nodes and voters, operators and voters say to each other, and what is told outside. */
final class GoldenMessages {
    private static final Grant GRANT = new Grant(DutyName.KEEPER, new Token(5));

    private GoldenMessages() {}

    private static Report report() {
        return new Report(
                "0.5",
                "0123456789abcdef",
                new Report.Checked("fedcba9876543210", false, true, "line 3: <no such place>"),
                List.of("server-1"),
                12,
                List.of(new Report.Use("place-a", 3, 100, 90, 2, 1.5E-4, true)),
                GoldenCommands.TALLY);
    }

    private static Report reportMinimal() {
        return new Report("0.5", "", null, List.of(), 0, List.of(), Tally.NOTHING);
    }

    private static Beat beat(Condition condition, Report report) {
        return new Beat(
                1,
                GoldenCommands.N0,
                GoldenCommands.LIFE,
                GoldenCommands.SITE,
                condition,
                1L << 33,
                List.of(GRANT),
                List.of(new Grant(DutyName.TRIAL, new Token(6))),
                List.of(new Grant(DutyName.PLANNER, new Token(7))),
                List.of("server-1", "server-2"),
                List.of(new Finding("server-1", true, new Token(8), Span.ofSeconds(0.25))),
                report);
    }

    private static List<GoldenForm<?>> heartbeats() {
        List<GoldenForm<?>> forms = new ArrayList<>();
        int conditionNumber = 0;
        for (Condition condition : Condition.values()) {
            forms.add(
                    GoldenForm.inMessage(
                            "heartbeat-" + conditionNumber++ + ".json",
                            beat(condition, report()),
                            Beat.class));
        }
        forms.add(
                GoldenForm.inMessage(
                        "heartbeat-without-report.json", beat(Condition.WARM, null), Beat.class));
        forms.add(
                GoldenForm.inMessage(
                        "heartbeat-minimal.json",
                        new Beat(
                                1,
                                GoldenCommands.N0,
                                GoldenCommands.LIFE,
                                GoldenCommands.SITE,
                                Condition.COLD,
                                1,
                                List.of(),
                                List.of(),
                                List.of(),
                                List.of(),
                                List.of(),
                                reportMinimal()),
                        Beat.class));
        forms.add(
                GoldenForm.inMessage(
                        "heartbeat-older-version.json",
                        new Beat(
                                0,
                                GoldenCommands.N0,
                                GoldenCommands.LIFE,
                                GoldenCommands.SITE,
                                Condition.WARM,
                                1,
                                List.of(GRANT),
                                null,
                                null,
                                null,
                                null,
                                null),
                        Beat.class));
        return forms;
    }

    private static List<GoldenForm<?>> replies() {
        Map<String, Integer> slots = new TreeMap<>();
        slots.put("place-a", 7);
        slots.put("place-b", 0);
        return List.of(
                GoldenForm.inMessage(
                        "reply-full.json",
                        new Reply(
                                77,
                                true,
                                GoldenCommands.N1,
                                "the name n0 is in use by another process",
                                Span.ofSeconds(3),
                                List.of(GRANT),
                                List.of(new Finding("server-1", false, new Token(8), Span.ZERO)),
                                12,
                                new Reply.Wanted("d1", "d2", true, List.of("server-1")),
                                new Reply.Share(4, slots),
                                299),
                        Reply.class),
                GoldenForm.inMessage(
                        "reply-older-version.json",
                        new Reply(
                                77,
                                true,
                                GoldenCommands.N1,
                                "",
                                Span.ofSeconds(3),
                                List.of(),
                                List.of(),
                                0,
                                new Reply.Wanted("", "", false, null),
                                null,
                                0),
                        Reply.class),
                GoldenForm.inMessage(
                        "reply-not-taken.json",
                        new Reply(
                                78,
                                false,
                                GoldenCommands.N1,
                                "",
                                Span.ZERO,
                                List.of(),
                                List.of(),
                                0,
                                null,
                                null,
                                0),
                        Reply.class),
                GoldenForm.inMessage(
                        "reply-no-leader.json",
                        new Reply(
                                78, false, null, "", Span.ZERO, List.of(), List.of(), 0, null, null,
                                0),
                        Reply.class));
    }

    private static Council.State state() {
        List<Seen> seen = new ArrayList<>();
        for (Standing standing : Standing.values()) {
            seen.add(
                    new Seen(
                            GoldenCommands.N0,
                            GoldenCommands.LIFE,
                            GoldenCommands.SITE,
                            standing,
                            standing == Standing.UNKNOWN ? null : Span.ofSeconds(0.123456789),
                            standing == Standing.WARM ? report() : null));
        }
        Book.Page page = GoldenCommands.pageWithAll();
        Book book = new Book(16);
        book.open(page);
        return new Council.State(
                GoldenCommands.N0,
                GoldenCommands.N1,
                7,
                seen,
                page.duties(),
                page.digest(),
                page.deeds(),
                page.permits(),
                page.haltedBy(),
                page.history(),
                book.release(),
                book.good(),
                page.rests(),
                book.past(),
                page.members(),
                new ArrayList<>(book.livePlans()),
                book.lastPlan());
    }

    private static Council.State stateMinimal() {
        return new Council.State(
                GoldenCommands.N0,
                null,
                0,
                List.of(),
                List.of(),
                "",
                0,
                List.of(),
                "",
                List.of(),
                null,
                "",
                List.of(),
                null,
                null,
                null,
                0);
    }

    private static List<GoldenForm<?>> states() {
        return List.of(
                GoldenForm.inMessage("status-full.json", state(), Council.State.class),
                GoldenForm.inMessage("status-minimal.json", stateMinimal(), Council.State.class),
                new GoldenForm<>(
                        "status-report.json",
                        state(),
                        one ->
                                GoldenForm.JSON.toJson(
                                        JsonParser.parseString(
                                                GoldenForm.JSON.toJsonTree(one).toString())),
                        text -> GoldenForm.JSON.fromJson(text, Council.State.class)),
                GoldenForm.inMessage(
                        "report-digest.json",
                        new Deed.Keep(new Token(5), "3 nodes known"),
                        Deed.Keep.class));
    }

    private static GoldenForm<Council.Order> order(String file, Council.Order order) {
        return GoldenForm.inMessage("order-" + file + ".json", order, Council.Order.class);
    }

    private static List<GoldenForm<?>> orders() {
        Council.Wish text =
                new Council.Wish(Release.Kind.CONFIGURATION, "d1", "a <b> = 'c'\n", true);
        Council.Wish program = new Council.Wish(Release.Kind.PROGRAM, "0.6", "", false);
        return List.of(
                order("leave", new Council.Order("1", "leave", GoldenCommands.N0, "ann")),
                order("halt", new Council.Order("2", "halt", null, "ann")),
                order("resume", new Council.Order("3", "resume", null, "ann")),
                order("forget", new Council.Order("4", "forget", GoldenCommands.N0, "ann")),
                order("release", new Council.Order("5", "release", null, "ann", text)),
                order("release-program", new Council.Order("6", "release", null, "ann", program)),
                order("back", new Council.Order("7", "back", null, "ann")),
                order("rest", new Council.Order("8", "rest", null, "ann", null, "server-1")),
                order("unrest", new Council.Order("9", "unrest", null, "ann", null, "server-1")),
                order(
                        "all-parts",
                        new Council.Order(
                                "10", "rest", GoldenCommands.N0, "ann", text, "server-1")),
                GoldenForm.inMessage(
                        "answer-done.json",
                        new Council.Answer(true, "permit 1 for n0"),
                        Council.Answer.class),
                GoldenForm.inMessage(
                        "answer-refused.json",
                        new Council.Answer(false, "ann halted"),
                        Council.Answer.class));
    }

    private static List<GoldenForm<?>> founding() {
        List<GoldenForm<?>> forms = new ArrayList<>();
        forms.add(
                new GoldenForm<>(
                        "bootstrap-question.json",
                        GoldenCommands.N0,
                        self -> Founding.ask(self).toString(),
                        text -> new NodeName(GoldenForm.object(text).get("from").getAsString())));
        int stateNumber = 0;
        for (Founding.State state : Founding.State.values()) {
            forms.add(
                    new GoldenForm<>(
                            "bootstrap-answer-" + stateNumber++ + ".json",
                            state,
                            one -> Founding.tell(GoldenCommands.N0, one).toString(),
                            text -> Founding.told(GoldenForm.object(text))));
        }
        return forms;
    }

    static List<GoldenForm<?>> forms() {
        List<GoldenForm<?>> forms = new ArrayList<>();
        forms.addAll(heartbeats());
        forms.addAll(replies());
        forms.addAll(states());
        forms.addAll(orders());
        forms.addAll(founding());
        return forms;
    }
}
