package lupinwood.council;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonElement;
import com.google.gson.ReflectionAccessFilter;
import java.util.HashMap;
import java.util.Map;
import lupinwood.fleet.Beat;
import lupinwood.fleet.Book;
import lupinwood.fleet.Condition;
import lupinwood.fleet.Deed;
import lupinwood.fleet.DutyName;
import lupinwood.fleet.Finding;
import lupinwood.fleet.Grant;
import lupinwood.fleet.Life;
import lupinwood.fleet.NodeName;
import lupinwood.fleet.OutRules;
import lupinwood.fleet.Permit;
import lupinwood.fleet.Plan;
import lupinwood.fleet.Plans;
import lupinwood.fleet.Release;
import lupinwood.fleet.Releases;
import lupinwood.fleet.Reply;
import lupinwood.fleet.Report;
import lupinwood.fleet.Rest;
import lupinwood.fleet.Seen;
import lupinwood.fleet.Site;
import lupinwood.fleet.Standing;
import lupinwood.fleet.Tally;
import lupinwood.fleet.Token;
import lupinwood.node.Span;

/**
 * The JSON that voters keep, and that nodes, voters and operators send each other. Each name in it
 * stands here as a literal, so that a type, a component or a constant may be called otherwise in
 * Java without a byte of what is stored or sent becoming another. These names never change: a
 * folder of an earlier version has to be read, and nodes of two versions have to understand each
 * other. A new component comes with a new name at the end of its record's table.
 *
 * <p>For any thread.
 */
public final class FleetJson {
    private static final Map<Class<? extends Deed>, String> KINDS = new HashMap<>();
    private static final Map<String, Class<? extends Deed>> COMMANDS = new HashMap<>();
    private static final WireNames NAMES = names();
    private static final Gson GSON =
            new GsonBuilder()
                    .registerTypeAdapterFactory(NAMES)
                    .addReflectionAccessFilter(
                            type -> ReflectionAccessFilter.FilterResult.BLOCK_ALL)
                    .create();

    private FleetJson() {}

    /** Writes and reads all that has names here, and refuses other records, enums and classes. */
    public static Gson gson() {
        return GSON;
    }

    /** A value as a part of a message; JSON's null for null. */
    static JsonElement tree(Object value) {
        return GSON.toJsonTree(value);
    }

    /**
     * A value out of a message or a folder; null for JSON's null.
     *
     * @throws com.google.gson.JsonParseException where it can't be one of that type
     */
    public static <T> T read(JsonElement text, Class<T> type) {
        return GSON.fromJson(text, type);
    }

    /** The name of a command's kind, as the log has it. */
    static String kindOf(Deed command) {
        String kind = KINDS.get(command.getClass());
        if (kind == null) {
            throw new IllegalArgumentException(command.getClass() + " has no name in the log");
        }
        return kind;
    }

    /** The kind of command of that name; null for one of a newer version. */
    static Class<? extends Deed> commandOf(String kind) {
        return COMMANDS.get(kind);
    }

    /** The name by which a constant is sent. */
    static <E extends Enum<E>> String nameOf(E constant) {
        return NAMES.nameOf(constant);
    }

    /**
     * The constant that is sent by that name.
     *
     * @throws IllegalArgumentException where there is none
     */
    static <E extends Enum<E>> E constantOf(Class<E> type, String name) {
        E constant = NAMES.constantOf(type, name);
        if (constant == null) {
            throw new IllegalArgumentException("no constant is sent as " + name);
        }
        return constant;
    }

    private static WireNames names() {
        WireNames names = new WireNames();
        addValues(names);
        addHeartbeats(names);
        addSnapshots(names);
        addOrders(names);
        addMemberAndLeaseCommands(names);
        addOrderCommands(names);
        addReleaseAndPlanCommands(names);
        addConstants(names);
        return names;
    }

    private static void command(
            WireNames names, Class<? extends Deed> type, String kind, String... components) {
        KINDS.put(type, kind);
        COMMANDS.put(kind, type);
        names.components(type.asSubclass(Record.class), components);
    }

    private static void addValues(WireNames names) {
        names.components(NodeName.class, "text");
        names.components(Life.class, "number");
        names.components(Site.class, "region", "zone");
        names.components(DutyName.class, "text");
        names.components(Token.class, "number");
        names.components(Grant.class, "duty", "token");
        names.components(Finding.class, "server", "well", "token", "age");
        names.components(Rest.class, "server", "by");
        names.components(Permit.class, "number", "node", "life", "site", "by");
        names.components(
                OutRules.class, "most", "share", "zoneMost", "zoneShare", "leastIn", "voters");
        names.components(Plan.class, "number", "roster", "slots");
        names.components(
                Release.class,
                "number",
                "kind",
                "from",
                "to",
                "by",
                "backsOnHalt",
                "turnedAt",
                "steps",
                "given");
        names.components(Span.class, "nanos");
        names.components(Tally.class, "counts");
        names.components(
                Tally.Count.class, "track", "satisfied", "late", "bounced", "abandoned", "seconds");
    }

    private static void addHeartbeats(WireNames names) {
        names.components(
                Beat.class,
                "version",
                "name",
                "life",
                "site",
                "condition",
                "number",
                "holds",
                "handsOn",
                "failsAt",
                "leftOut",
                "found",
                "report");
        names.components(
                Report.class, "program", "runs", "checked", "emptied", "plan", "uses", "tally");
        names.components(Report.Checked.class, "digest", "fits", "restarts", "why");
        names.components(
                Report.Use.class, "place", "out", "asked", "ended", "failed", "seconds", "leftOut");
        names.components(
                Reply.class,
                "number",
                "taken",
                "leader",
                "trouble",
                "lease",
                "grants",
                "found",
                "leave",
                "wanted",
                "share",
                "others");
        names.components(Reply.Share.class, "plan", "slots");
        names.components(Reply.Wanted.class, "runs", "checks", "busy", "rests");
    }

    private static void addSnapshots(WireNames names) {
        names.components(Book.Member.class, "name", "life", "site", "in");
        names.components(Book.Held.class, "duty", "holder", "life", "token");
        names.components(Book.Done.class, "order", "text");
        names.components(Book.Entry.class, "atMillis", "text");
        names.components(
                Book.Page.class,
                "members",
                "duties",
                "lastToken",
                "digest",
                "deeds",
                "permits",
                "lastPermit",
                "haltedBy",
                "done",
                "history",
                "releases",
                "rests",
                "plans");
        names.components(Releases.Text.class, "digest", "text");
        names.components(Releases.Page.class, "good", "program", "next", "open", "last", "past");
        names.components(Plans.Page.class, "live", "bears", "alone", "last");
    }

    private static void addOrders(WireNames names) {
        names.components(Seen.class, "name", "life", "site", "standing", "heard", "report");
        names.components(
                Council.State.class,
                "self",
                "leader",
                "term",
                "seen",
                "duties",
                "digest",
                "deeds",
                "permits",
                "haltedBy",
                "history",
                "release",
                "good",
                "rests",
                "past",
                "members",
                "plans",
                "lastPlan");
        names.components(Council.Order.class, "id", "what", "node", "by", "wish", "server");
        names.components(Council.Wish.class, "kind", "to", "text", "backsOnHalt");
        names.components(Council.Answer.class, "done", "text");
    }

    private static void addMemberAndLeaseCommands(WireNames names) {
        command(names, Deed.Found.class, "Found", "above");
        command(names, Deed.Join.class, "Join", "name", "life", "site");
        command(names, Deed.Leave.class, "Leave", "name", "life");
        command(names, Deed.Forget.class, "Forget", "name");
        command(names, Deed.Give.class, "Give", "duty", "heir", "life", "after");
        command(names, Deed.Free.class, "Free", "duty", "token", "why");
        command(names, Deed.Keep.class, "Keep", "token", "digest");
    }

    private static void addOrderCommands(WireNames names) {
        command(
                names,
                Deed.Allow.class,
                "Allow",
                "order",
                "node",
                "by",
                "atMillis",
                "rules",
                "seenOut");
        command(names, Deed.Back.class, "Back", "permit", "why", "atMillis");
        command(names, Deed.Halt.class, "Halt", "order", "halted", "by", "atMillis");
        command(names, Deed.LetRest.class, "LetRest", "order", "server", "by", "most", "atMillis");
        command(names, Deed.EndRest.class, "EndRest", "order", "server", "by", "atMillis");
    }

    private static void addReleaseAndPlanCommands(WireNames names) {
        command(
                names,
                Deed.Begin.class,
                "Begin",
                "order",
                "by",
                "kind",
                "to",
                "text",
                "backsOnHalt",
                "atMillis");
        command(
                names,
                Deed.Step.class,
                "Step",
                "token",
                "release",
                "step",
                "back",
                "nodes",
                "why",
                "past",
                "atMillis");
        command(names, Deed.Turn.class, "Turn", "order", "release", "by", "atMillis");
        command(names, Deed.Finish.class, "Finish", "token", "release", "done", "why", "atMillis");
        command(
                names,
                Deed.SetPlan.class,
                "SetPlan",
                "token",
                "after",
                "bears",
                "alone",
                "slots",
                "why",
                "atMillis");
        command(names, Deed.Retire.class, "Retire", "below");
    }

    private static void addConstants(WireNames names) {
        names.constants(
                Condition.class,
                Map.of(
                        Condition.COLD,
                        "COLD",
                        Condition.WARM,
                        "WARM",
                        Condition.LEAVING,
                        "LEAVING",
                        Condition.GONE,
                        "GONE"));
        names.constants(
                Standing.class,
                Map.of(
                        Standing.UP,
                        "UP",
                        Standing.WARM,
                        "WARM",
                        Standing.LEAVING,
                        "LEAVING",
                        Standing.OUT,
                        "OUT",
                        Standing.UNKNOWN,
                        "UNKNOWN"));
        names.constants(
                Release.Kind.class,
                Map.of(
                        Release.Kind.CONFIGURATION,
                        "CONFIGURATION",
                        Release.Kind.PROGRAM,
                        "PROGRAM"));
        names.constants(
                Deed.Why.class,
                Map.of(
                        Deed.Why.LAPSED,
                        "LAPSED",
                        Deed.Why.HANDED_ON,
                        "HANDED_ON",
                        Deed.Why.FAILED,
                        "FAILED",
                        Deed.Why.WENT,
                        "WENT"));
        names.constants(
                Founding.State.class,
                Map.of(
                        Founding.State.EMPTY,
                        "EMPTY",
                        Founding.State.FOUNDS,
                        "FOUNDS",
                        Founding.State.VOTES,
                        "VOTES"));
    }
}
