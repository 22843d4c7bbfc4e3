package lupinwood.cli;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import lupinwood.config.Config;
import lupinwood.config.Reader;
import lupinwood.council.FleetSettings;
import lupinwood.council.Question;
import lupinwood.load.FileSources;
import lupinwood.log.LibraryLogs;
import lupinwood.log.Log;
import lupinwood.node.Span;

/** What the command 'fleet' does. */
final class FleetWork {
    private static final int LEADERLESS = 1;
    private static final int USAGE = 2;

    private final String operator;
    private final boolean json;
    private final Span within;

    FleetWork(String operator, boolean json, double within) {
        this.operator = operator;
        this.json = json;
        this.within = Span.ofSeconds(within);
    }

    int run(List<String> words) {
        if (!words.equals(List.of("status"))) {
            System.err.println("lupinwood: 'fleet' takes: status");
            return USAGE;
        }
        Config config = Reader.readPart(new FileSources(), operator);
        if (!config.problems().isEmpty()) {
            System.err.println("lupinwood: " + config.problems().all().get(0).place() + ": "
                    + config.problems().all().get(0).text());
            return USAGE;
        }
        FleetSettings settings = FleetSettings.of(config.meaning());
        if (settings == null) {
            System.err.println("lupinwood: " + operator + " names no voters, so there is no fleet");
            return USAGE;
        }
        Log quiet = new Log(new PrintStream(new ByteArrayOutputStream()), Instant::now);
        LibraryLogs.sendTo(quiet);
        try {
            Map<Integer, JsonObject> answers = Question.ask(settings.voters().values(), within, quiet);
            JsonObject leads = answers.values().stream().filter(one -> one.get("leads").getAsBoolean()).findFirst()
                    .orElse(null);
            if (json) {
                JsonArray all = new JsonArray();
                answers.values().forEach(all::add);
                System.out.println(leads != null ? leads.get("state") : all);
            } else {
                print(settings, answers, leads);
            }
            return answers.isEmpty() ? USAGE : leads == null ? LEADERLESS : 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return USAGE;
        }
    }

    private static void print(FleetSettings settings, Map<Integer, JsonObject> answers, JsonObject leads) {
        System.out.println("voters: " + answers.size() + " of " + settings.voters().size() + " answered");
        if (leads == null) {
            System.out.println("leader: nobody; duties are not given on, nodes serve as if alone");
            return;
        }
        JsonObject state = leads.getAsJsonObject("state");
        System.out.println("leader: " + leads.get("leader").getAsString() + ", term " + state.get("term").getAsInt());
        for (JsonElement one : state.getAsJsonArray("duties")) {
            JsonObject duty = one.getAsJsonObject();
            String holder = duty.has("holder") ? text(duty, "holder") : "nobody";
            System.out.println("duty " + text(duty, "duty") + ": " + holder + ", token "
                    + duty.getAsJsonObject("token").get("number").getAsLong());
        }
        List<String> lines = new ArrayList<>();
        for (JsonElement one : state.getAsJsonArray("seen")) {
            JsonObject seen = one.getAsJsonObject();
            JsonObject site = seen.getAsJsonObject("site");
            String heard = seen.has("heard") ? String.format(Locale.ROOT, "heard %.1f s ago",
                    seen.getAsJsonObject("heard").get("nanos").getAsLong() / 1e9) : "not heard by this leader";
            lines.add(String.format("node %-16s %-8s %s/%s, %s", text(seen, "name"),
                    seen.get("standing").getAsString().toLowerCase(Locale.ROOT), site.get("region").getAsString(),
                    site.get("zone").getAsString(), heard));
        }
        lines.forEach(System.out::println);
    }

    private static String text(JsonObject of, String name) {
        return of.getAsJsonObject(name).get("text").getAsString();
    }
}
