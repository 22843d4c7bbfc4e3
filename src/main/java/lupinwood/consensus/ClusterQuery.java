package lupinwood.consensus;

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
import lupinwood.admission.NanoDuration;
import lupinwood.cluster.NodeName;
import lupinwood.log.Log;

/** Asks the voters what they know, for a command. */
public final class ClusterQuery {
    private static final long AGAIN_MILLIS = 500;

    /** Which text, and which program, a node is to be started with, and which servers rest. */
    public record Wanted(String digest, String text, String program, List<String> cordons) {}

    private ClusterQuery() {}

    private static List<String> cordons(JsonObject text) {
        List<String> cordons = new ArrayList<>();
        text.getAsJsonArray("rests").forEach(one -> cordons.add(one.getAsString()));
        return cordons;
    }

    /** What the one who leads knows; null where nobody who does answered in time. */
    public static RaftReplica.ReplicaView state(
            Collection<InetSocketAddress> voters, NanoDuration within, Log log)
            throws InterruptedException {
        return state(voters, within, log, false);
    }

    /**
     * Asks the voters for the state as their leader has it.
     *
     * @param plans with all plans that some node may go by
     */
    public static RaftReplica.ReplicaView state(
            Collection<InetSocketAddress> voters, NanoDuration within, Log log, boolean plans)
            throws InterruptedException {
        return ask(voters, within, log, plans).values().stream()
                .filter(one -> one.get("leads").getAsBoolean())
                .map(one -> ClusterJson.read(one.get("state"), RaftReplica.ReplicaView.class))
                .findFirst()
                .orElse(null);
    }

    /** Null where nobody who leads answered in time, or nobody can be reached. */
    public static Wanted wanted(
            Collection<InetSocketAddress> voters, NodeName node, NanoDuration within, Log log)
            throws InterruptedException {
        BlockingQueue<Wanted> answers = new ArrayBlockingQueue<>(64);
        RaftTransport transport =
                new RaftTransport(
                        (from, text) -> {
                            if (text.get("k").getAsString().equals("wanted")
                                    && text.get("leads").getAsBoolean()) {
                                answers.offer(
                                        new Wanted(
                                                text.get("digest").getAsString(),
                                                text.get("text").getAsString(),
                                                text.get("program").getAsString(),
                                                cordons(text)));
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
                voters.forEach(voter -> transport.say(voter, text));
                wanted =
                        answers.poll(
                                Math.min(AGAIN_MILLIS, within.nanos() / 3_000_000),
                                TimeUnit.MILLISECONDS);
            }
            return wanted;
        } finally {
            transport.end();
        }
    }

    /**
     * What each voter that answered in time says, in the order of the answers; ends early once the
     * one who leads has answered.
     */
    public static Map<Integer, JsonObject> ask(
            Collection<InetSocketAddress> voters, NanoDuration within, Log log)
            throws InterruptedException {
        return ask(voters, within, log, false);
    }

    private static Map<Integer, JsonObject> ask(
            Collection<InetSocketAddress> voters, NanoDuration within, Log log, boolean plans)
            throws InterruptedException {
        Map<Integer, JsonObject> answers = new LinkedHashMap<>();
        CountDownLatch enough = new CountDownLatch(1);
        RaftTransport transport =
                new RaftTransport(
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
                transport.say(voter, ask);
            }
            enough.await(within.nanos(), TimeUnit.NANOSECONDS);
        } finally {
            transport.end();
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
    public static RaftReplica.OrderResult order(
            Collection<InetSocketAddress> voters,
            RaftReplica.OperatorOrder order,
            NanoDuration within,
            Log log)
            throws InterruptedException {
        BlockingQueue<RaftReplica.OrderResult> answers = new ArrayBlockingQueue<>(64);
        RaftTransport transport =
                new RaftTransport(
                        (from, text) -> {
                            if (text.get("k").getAsString().equals("done")
                                    && text.get("leads").getAsBoolean()) {
                                answers.offer(
                                        ClusterJson.read(
                                                text.get("a"), RaftReplica.OrderResult.class));
                            }
                        },
                        log);
        try {
            JsonObject text = new JsonObject();
            text.addProperty("k", "order");
            text.add("o", ClusterJson.tree(order));
            long end = System.nanoTime() + within.nanos();
            RaftReplica.OrderResult answer = null;
            while (answer == null && System.nanoTime() < end) {
                voters.forEach(voter -> transport.say(voter, text));
                answer = answers.poll(AGAIN_MILLIS, TimeUnit.MILLISECONDS);
            }
            return answer;
        } finally {
            transport.end();
        }
    }
}
