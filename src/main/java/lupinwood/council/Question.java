package lupinwood.council;

import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lupinwood.fleet.NodeName;
import lupinwood.log.Log;
import lupinwood.node.Span;

/** Asks the voters what they know, for a command. */
public final class Question {
    private static final long AGAIN_MILLIS = 500;

    /** Which text, and which program, a node is to be started with, and which servers rest. */
    public record Wanted(String digest, String text, String program, List<String> rests) {}

    private Question() {}

    private static List<String> rests(JsonObject text) {
        List<String> rests = new ArrayList<>();
        text.getAsJsonArray("rests").forEach(one -> rests.add(one.getAsString()));
        return rests;
    }

    /** What the one who leads knows; null where nobody who does answered in time. */
    public static Council.State state(Collection<InetSocketAddress> voters, Span within, Log log)
            throws InterruptedException {
        return state(voters, within, log, false);
    }

    /**
     * Asks the voters for the state as their leader has it.
     *
     * @param plans with all plans that some node may go by
     */
    public static Council.State state(
            Collection<InetSocketAddress> voters, Span within, Log log, boolean plans)
            throws InterruptedException {
        return ask(voters, within, log, plans).values().stream()
                .filter(one -> one.get("leads").getAsBoolean())
                .map(one -> FleetJson.read(one.get("state"), Council.State.class))
                .findFirst()
                .orElse(null);
    }

    /** Null where nobody who leads answered in time, or nobody can be reached. */
    public static Wanted wanted(
            Collection<InetSocketAddress> voters, NodeName node, Span within, Log log)
            throws InterruptedException {
        BlockingQueue<Wanted> answers = new ArrayBlockingQueue<>(64);
        Carriage carriage =
                new Carriage(
                        (from, text) -> {
                            if (text.get("k").getAsString().equals("wanted")
                                    && text.get("leads").getAsBoolean()) {
                                answers.offer(
                                        new Wanted(
                                                text.get("digest").getAsString(),
                                                text.get("text").getAsString(),
                                                text.get("program").getAsString(),
                                                rests(text)));
                            }
                        },
                        log);
        try {
            JsonObject text = new JsonObject();
            text.addProperty("k", "wanted?");
            text.addProperty("name", node.text());
            long end = System.nanoTime() + within.nanos();
            Wanted wanted = null;
            while (wanted == null && System.nanoTime() < end) {
                voters.forEach(voter -> carriage.say(voter, text));
                wanted =
                        answers.poll(
                                Math.min(AGAIN_MILLIS, within.nanos() / 3_000_000),
                                TimeUnit.MILLISECONDS);
            }
            return wanted;
        } finally {
            carriage.end();
        }
    }

    /**
     * What each voter that answered in time says, in the order of the answers; ends early once the
     * one who leads has answered.
     */
    public static Map<Integer, JsonObject> ask(
            Collection<InetSocketAddress> voters, Span within, Log log)
            throws InterruptedException {
        return ask(voters, within, log, false);
    }

    private static Map<Integer, JsonObject> ask(
            Collection<InetSocketAddress> voters, Span within, Log log, boolean plans)
            throws InterruptedException {
        Map<Integer, JsonObject> answers = new LinkedHashMap<>();
        CountDownLatch enough = new CountDownLatch(1);
        Carriage carriage =
                new Carriage(
                        (from, text) -> {
                            synchronized (answers) {
                                if (text.get("k").getAsString().equals("told")) {
                                    answers.put(text.get("number").getAsInt(), text);
                                    if (text.get("leads").getAsBoolean()
                                            || answers.size() == voters.size()) {
                                        enough.countDown();
                                    }
                                }
                            }
                        },
                        log);
        try {
            int number = 0;
            for (InetSocketAddress voter : voters) {
                JsonObject ask = new JsonObject();
                ask.addProperty("k", "ask");
                ask.addProperty("number", number++);
                if (plans) {
                    ask.addProperty("plans", true);
                }
                carriage.say(voter, ask);
            }
            enough.await(within.nanos(), TimeUnit.NANOSECONDS);
        } finally {
            carriage.end();
        }
        synchronized (answers) {
            return new LinkedHashMap<>(answers);
        }
    }

    /**
     * Has an operator's order carried out by whoever leads; asked again until somebody does, which
     * does no harm.
     *
     * @return null where nobody led in time
     */
    public static Council.Answer order(
            Collection<InetSocketAddress> voters, Council.Order order, Span within, Log log)
            throws InterruptedException {
        BlockingQueue<Council.Answer> answers = new ArrayBlockingQueue<>(64);
        Carriage carriage =
                new Carriage(
                        (from, text) -> {
                            if (text.get("k").getAsString().equals("done")
                                    && text.get("leads").getAsBoolean()) {
                                answers.offer(FleetJson.read(text.get("a"), Council.Answer.class));
                            }
                        },
                        log);
        try {
            JsonObject text = new JsonObject();
            text.addProperty("k", "order");
            text.add("o", FleetJson.tree(order));
            long end = System.nanoTime() + within.nanos();
            Council.Answer answer = null;
            while (answer == null && System.nanoTime() < end) {
                voters.forEach(voter -> carriage.say(voter, text));
                answer = answers.poll(AGAIN_MILLIS, TimeUnit.MILLISECONDS);
            }
            return answer;
        } finally {
            carriage.end();
        }
    }
}
