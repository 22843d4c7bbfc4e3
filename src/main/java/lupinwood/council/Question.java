package lupinwood.council;

import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lupinwood.log.Log;
import lupinwood.node.Span;

/** Asks the voters what they know, for a command. */
public final class Question {
    private Question() {}

    /**
     * What each voter that answered in time says, in the order of the answers; ends early once the one who leads has
     * answered.
     */
    public static Map<Integer, JsonObject> ask(Collection<InetSocketAddress> voters, Span within, Log log)
            throws InterruptedException {
        Map<Integer, JsonObject> answers = new LinkedHashMap<>();
        CountDownLatch enough = new CountDownLatch(1);
        Carriage carriage = new Carriage((from, text) -> {
            synchronized (answers) {
                if (text.get("k").getAsString().equals("told")) {
                    answers.put(text.get("number").getAsInt(), text);
                    if (text.get("leads").getAsBoolean() || answers.size() == voters.size()) {
                        enough.countDown();
                    }
                }
            }
        }, log);
        try {
            int number = 0;
            for (InetSocketAddress voter : voters) {
                JsonObject ask = new JsonObject();
                ask.addProperty("k", "ask");
                ask.addProperty("number", number++);
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
}
