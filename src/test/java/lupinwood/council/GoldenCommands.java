package lupinwood.council;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lupinwood.fleet.Book;
import lupinwood.fleet.Deed;
import lupinwood.fleet.DutyName;
import lupinwood.fleet.Life;
import lupinwood.fleet.NodeName;
import lupinwood.fleet.OutRules;
import lupinwood.fleet.Release;
import lupinwood.fleet.Rest;
import lupinwood.fleet.Site;
import lupinwood.fleet.Tally;
import lupinwood.fleet.Token;

/** The commands in the log and the snapshots of the state that they make. */
final class GoldenCommands {
    static final NodeName N0 = new NodeName("n0");
    static final NodeName N1 = new NodeName("n1");
    static final NodeName N2 = new NodeName("n2");
    static final NodeName N3 = new NodeName("n3");
    static final NodeName N4 = new NodeName("n4");
    static final Site SITE = new Site("eu", "eu-1");
    static final Site OTHER_SITE = new Site("us", "us-2");
    static final Life LIFE = new Life(-6172840429334713771L);
    static final Tally TALLY =
            new Tally(
                    List.of(
                            new Tally.Count("quick", 120, 3, 2, 1, 12.0625),
                            new Tally.Count("others", 1L << 40, 0, 0, 0, 1.0E-5)));
    private static final long AT = 1_790_000_000_000L;
    private static final long FIRST_TOKEN = 1_790_000_000_001L;
    private static final Token KEEPER = new Token(FIRST_TOKEN);
    private static final Token CONDUCTOR = new Token(FIRST_TOKEN + 1);
    private static final Token PLANNER = new Token(FIRST_TOKEN + 2);
    private static final Token TRIAL = new Token(FIRST_TOKEN + 3);
    private static final Token NONE = new Token(0);
    private static final String TEXT = "class \"a\" { limit <10 } // 'é' & =\n";

    private GoldenCommands() {}

    private static Map<String, Integer> places(int first, int second) {
        Map<String, Integer> places = new TreeMap<>();
        places.put("place-a", first);
        places.put("place-b", second);
        return places;
    }

    private static Map<String, Tally> past() {
        Map<String, Tally> past = new TreeMap<>();
        past.put("n0", TALLY);
        past.put("n1", Tally.NOTHING);
        return past;
    }

    /** Brings members, leases, a permit, a release that is done, and two plans. */
    static List<Deed> story() {
        return new ArrayList<>(
                List.of(
                        new Deed.Found(FIRST_TOKEN - 1),
                        new Deed.Join(N0, LIFE, SITE),
                        new Deed.Join(N1, new Life(1), SITE),
                        new Deed.Join(N2, new Life(2), OTHER_SITE),
                        new Deed.Join(N3, new Life(3), OTHER_SITE),
                        new Deed.Give(DutyName.KEEPER, N0, LIFE, NONE),
                        new Deed.Give(DutyName.CONDUCTOR, N1, new Life(1), NONE),
                        new Deed.Give(DutyName.PLANNER, N2, new Life(2), NONE),
                        new Deed.Give(DutyName.TRIAL, N0, LIFE, NONE),
                        new Deed.Free(DutyName.TRIAL, TRIAL, Deed.Why.HANDED_ON),
                        new Deed.Keep(KEEPER, "4 nodes known"),
                        new Deed.Allow("order-1", N3, "ann", AT, OutRules.USUAL, List.of()),
                        new Deed.Begin(
                                "order-2",
                                "ann",
                                Release.Kind.CONFIGURATION,
                                "d1",
                                TEXT,
                                true,
                                AT + 1),
                        new Deed.Step(
                                CONDUCTOR,
                                1,
                                1,
                                false,
                                List.of(N0, N1),
                                "all have checked it",
                                past(),
                                AT + 2),
                        new Deed.Finish(CONDUCTOR, 1, true, "", AT + 3),
                        new Deed.SetPlan(
                                PLANNER,
                                0,
                                places(20, 10),
                                Map.of("eu/eu-1", Map.of("place-a", 1)),
                                Map.of("eu/eu-1", places(7, 2)),
                                "first",
                                AT + 4),
                        new Deed.SetPlan(
                                PLANNER,
                                1,
                                places(20, 10),
                                Map.of("eu/eu-1", Map.of("place-a", 1)),
                                Map.of("us/us-2", places(3, 2)),
                                "",
                                AT + 5),
                        new Deed.Join(N4, new Life(4), SITE),
                        new Deed.Leave(N4, new Life(4))));
    }

    /** A program released, the duty trial with the next holder, and a server that rests. */
    static List<Deed> afterTheSnapshot() {
        return List.of(
                new Deed.Begin("order-3", "bob", Release.Kind.PROGRAM, "0.6", "", false, AT + 10),
                new Deed.Step(CONDUCTOR, 2, 1, false, List.of(N2), "", null, AT + 11),
                new Deed.Finish(CONDUCTOR, 2, true, "went well", AT + 12),
                new Deed.Give(DutyName.TRIAL, N1, new Life(1), TRIAL),
                new Deed.LetRest("order-4", "server-1", "ann", 2, AT + 13),
                new Deed.Retire(2));
    }

    /** A second configuration halfway out, turned back once, and a halt. */
    private static List<Deed> halfwayOut() {
        return List.of(
                new Deed.Begin(
                        "order-5",
                        "bob",
                        Release.Kind.CONFIGURATION,
                        "d2",
                        TEXT + TEXT,
                        false,
                        AT + 20),
                new Deed.Step(CONDUCTOR, 2, 1, false, List.of(N2, N0), "", past(), AT + 21),
                new Deed.Turn("order-6", 2, "bob", AT + 22),
                new Deed.Step(CONDUCTOR, 2, 2, true, List.of(N2), "", null, AT + 23),
                new Deed.Halt("order-7", true, "ann", AT + 24));
    }

    static Book book(List<Deed> deeds) {
        Book book = new Book(16);
        for (Deed deed : deeds) {
            if (!book.apply(deed)) {
                throw new IllegalStateException(deed + " doesn't fit");
            }
        }
        return book;
    }

    static Book.Page pageWithAll() {
        List<Deed> deeds = story();
        deeds.addAll(halfwayOut());
        Book.Page page = book(deeds).page();
        return new Book.Page(
                page.members(),
                page.duties(),
                page.lastToken(),
                page.digest(),
                page.deeds(),
                page.permits(),
                page.lastPermit(),
                page.haltedBy(),
                page.done(),
                page.history(),
                page.releases(),
                List.of(new Rest("server-1", "ann"), new Rest("server-2", "bob")),
                page.plans());
    }

    private static Book.Page pageOfAnOlderVersion() {
        Book.Page page = book(story()).page();
        return new Book.Page(
                page.members(),
                page.duties(),
                page.lastToken(),
                page.digest(),
                page.deeds(),
                page.permits(),
                page.lastPermit(),
                page.haltedBy(),
                page.done(),
                page.history(),
                null,
                null,
                null);
    }

    private static GoldenForm<Deed> command(String file, Deed deed) {
        return new GoldenForm<>("command-" + file + ".json", deed, DeedText::of, DeedText::deed);
    }

    private static GoldenForm<Book.Page> snapshot(String file, Book.Page page) {
        return new GoldenForm<>(
                "snapshot-" + file + ".json",
                page,
                one -> String.join("", DeedText.pieces(one).toArray(String[]::new)),
                text -> DeedText.page(List.of(text)));
    }

    static List<GoldenForm<?>> forms() {
        List<GoldenForm<?>> forms = new ArrayList<>();
        addSnapshots(forms);
        addMembersAndLeases(forms);
        addOperatorsOrders(forms);
        addReleasesAndPlans(forms);
        return forms;
    }

    private static void addSnapshots(List<GoldenForm<?>> forms) {
        forms.add(snapshot("full", pageWithAll()));
        forms.add(snapshot("empty", new Book(16).page()));
        forms.add(snapshot("older-version", pageOfAnOlderVersion()));
    }

    private static void addMembersAndLeases(List<GoldenForm<?>> forms) {
        forms.add(command("found", new Deed.Found(1_790_000_000_000L)));
        forms.add(command("join", new Deed.Join(N0, LIFE, SITE)));
        forms.add(command("leave", new Deed.Leave(N0, LIFE)));
        forms.add(command("forget", new Deed.Forget(N0)));
        forms.add(command("give", new Deed.Give(DutyName.TRIAL, N1, LIFE, new Token(5))));
        int whyNumber = 0;
        for (Deed.Why why : Deed.Why.values()) {
            forms.add(
                    command(
                            "free-" + whyNumber++,
                            new Deed.Free(DutyName.KEEPER, new Token(5), why)));
        }
        forms.add(command("keep", new Deed.Keep(KEEPER, "3 nodes known")));
    }

    private static void addOperatorsOrders(List<GoldenForm<?>> forms) {
        forms.add(
                command(
                        "allow",
                        new Deed.Allow(
                                "order-1",
                                N3,
                                "ann <ann@example.org>",
                                AT,
                                new OutRules(3, 0.25, 2, 0.5, 1, List.of(N0, N1)),
                                List.of(N2, N4))));
        forms.add(
                command(
                        "allow-minimal",
                        new Deed.Allow(
                                "",
                                N3,
                                "",
                                0,
                                new OutRules(Integer.MAX_VALUE, 0.1, 0, 1.0E-7, 0, null),
                                List.of())));
        forms.add(command("back", new Deed.Back(7, "seen well again", AT)));
        forms.add(command("back-minimal", new Deed.Back(7, null, 0)));
        forms.add(command("halt", new Deed.Halt("order-1", true, "ann", AT)));
        forms.add(command("resume", new Deed.Halt("order-2", false, "ann", AT)));
        forms.add(
                command(
                        "begin-configuration",
                        new Deed.Begin(
                                "order-3",
                                "bob",
                                Release.Kind.CONFIGURATION,
                                "0123456789abcdef",
                                TEXT,
                                true,
                                AT)));
        forms.add(
                command(
                        "begin-program",
                        new Deed.Begin(
                                "order-4", "bob", Release.Kind.PROGRAM, "0.6", "", false, AT)));
    }

    private static void addReleasesAndPlans(List<GoldenForm<?>> forms) {
        forms.add(
                command(
                        "step",
                        new Deed.Step(
                                CONDUCTOR, 3, 2, true, List.of(N0, N1), "halted", past(), AT)));
        forms.add(
                command(
                        "step-minimal",
                        new Deed.Step(CONDUCTOR, 3, 1, false, List.of(), "", null, 0)));
        forms.add(command("turn", new Deed.Turn("order-5", 3, "ann", AT)));
        forms.add(command("finish", new Deed.Finish(CONDUCTOR, 3, true, "went well", AT)));
        forms.add(command("let-rest", new Deed.LetRest("order-6", "server-1", "ann", 2, AT)));
        forms.add(command("end-rest", new Deed.EndRest("order-7", "server-1", "ann", AT)));
        forms.add(
                command(
                        "set-plan",
                        new Deed.SetPlan(
                                PLANNER,
                                4,
                                places(20, 10),
                                Map.of("eu/eu-1", places(1, 0)),
                                Map.of("us/us-2", places(3, 2)),
                                "place-b is full",
                                AT)));
        forms.add(
                command(
                        "set-plan-minimal",
                        new Deed.SetPlan(PLANNER, 0, Map.of(), Map.of(), Map.of(), "", 0)));
        forms.add(command("retire", new Deed.Retire(5)));
    }
}
