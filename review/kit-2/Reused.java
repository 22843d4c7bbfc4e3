import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Dispatchers keep the cores busy. Now and then one withdraws a keyed request and tries it again on a
 * new connection, among others that it sends there; in between a bad client has used that key with
 * another body. Each request written to the node must get its answer.
 */
final class Reused {
    private static final int ROUNDS = 20;
    private static final int BEHIND = 20;

    /** One way; the site file has 1.4 to 2.6 ms between zones. */
    private static final long DELAY_MICROS = 2000;

    private Reused() {}

    public static void main(String[] words) throws Exception {
        int exit = Kit.COULD_NOT_RUN;
        try (Kit kit = new Kit(words)) {
            exit = play(kit);
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }

    private static int play(Kit kit) throws Exception {
        Kit.Site site = Kit.rueda();
        Work work =
                new Work(
                        kit,
                        Map.of("fare-quote", 150L, "trip-history", 900L, "unlock", 150L),
                        Map.of("fare-quote", true, "unlock", true));
        ServerSocket index = Kit.index(10);
        ServerSocket registry = Kit.registry();
        int listen = Kit.freePort();
        Kit.Node node =
                kit.node(
                        "n1",
                        Kit.json(
                                "n1", listen, work.port(), index.getLocalPort(),
                                registry.getLocalPort(), 3200, site),
                        "");
        if (!Ready.await(kit, node, listen)) {
            node.noteLog(20);
            return Kit.COULD_NOT_RUN;
        }
        int far = Proxy.to(listen, DELAY_MICROS).getLocalPort();
        Map<String, Dispatcher.Try> tries = new ConcurrentHashMap<>();
        boolean[] over = {false};
        Kit.daemon(() -> keepBusy(kit, work, far, tries, over));
        Kit.sleep(3000);
        List<Dispatcher> used = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            round(kit, work, listen, far, tries, used);
            Kit.sleep(1000);
        }
        over[0] = true;
        Kit.sleep(9500);
        return judge(kit, node, tries);
    }

    /** Some seven trip-history a second, 900 ms each: six cores have always something to do. */
    private static void keepBusy(
            Kit kit, Work work, int port, Map<String, Dispatcher.Try> tries, boolean[] over) {
        Dispatcher dispatcher = null;
        String[] tenants = {"montevideo", "canelones", "maldonado", "salto"};
        for (int i = 0; !over[0]; i++) {
            try {
                if (dispatcher == null || !dispatcher.takesMore()) {
                    dispatcher = new Dispatcher(kit, work, port, tries);
                }
                dispatcher.send("trip-history", tenants[i % 4], Kit.bytes("busy " + i), null);
            } catch (IOException e) {
                dispatcher = null;
            }
            Kit.sleep(130);
        }
    }

    private static void round(
            Kit kit,
            Work work,
            int listen,
            int far,
            Map<String, Dispatcher.Try> tries,
            List<Dispatcher> used)
            throws IOException {
        ThreadLocalRandom chance = ThreadLocalRandom.current();
        String key = String.format("%016x%016x", chance.nextLong(), chance.nextLong());
        byte[] body = Kit.bytes("dock " + chance.nextInt(1000));
        Dispatcher first = new Dispatcher(kit, work, far, tries);
        used.add(first);
        Dispatcher.Try try1 = first.send("unlock", "montevideo", body, key);
        Kit.sleep(20);
        first.abort(try1);
        Kit.sleep(20);
        if (kit.trouble) {
            badClient(kit, listen, key);
            Kit.sleep(20);
        }
        Dispatcher second = new Dispatcher(kit, work, far, tries);
        used.add(second);
        second.send("trip-history", "canelones", Kit.bytes("first of its connection"), null);
        Kit.sleep(10);
        second.send("unlock", "montevideo", body, key);
        for (int i = 0; i < BEHIND && second.takesMore(); i++) {
            Kit.sleep(1);
            try {
                second.send("fare-quote", "maldonado", Kit.bytes("behind " + i), null);
            } catch (IOException e) {
                return; // everything on it was answered, and it closed as it was asked to
            }
        }
    }

    /** It uses the key with a body of its own, and reads whatever it is sent. */
    private static void badClient(Kit kit, int port, String key) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        String fields =
                String.format(
                        "req=%016x,ts=%d,via=9,owner=salto,need=24.5,level=0.5,opkey=%s",
                        ThreadLocalRandom.current().nextLong(), System.currentTimeMillis(), key);
        kit.note("bad    key=" + key + " with another body");
        socket.getOutputStream()
                .write(
                        Kit.array(
                                Kit.bytes("REQ"), Kit.bytes("1"), Kit.bytes("unlock"),
                                Kit.bytes(fields), Kit.bytes("another body")));
        Kit.daemon(
                () -> {
                    try (socket; InputStream in = new BufferedInputStream(socket.getInputStream())) {
                        for (List<byte[]> words = Kit.array(in);
                                words != null;
                                words = Kit.array(in)) {
                            kit.note("bad    hears " + new String(words.get(1)));
                        }
                    } catch (IOException e) {
                        // The connection ended.
                    }
                });
    }

    private static int judge(Kit kit, Kit.Node node, Map<String, Dispatcher.Try> tries)
            throws IOException {
        int lost = 0;
        for (Dispatcher.Try one : tries.values()) {
            if (one.word == null && !one.withdrawn) {
                boolean excused = one.crossedItsEnd();
                lost += excused ? 0 : 1;
                kit.note(
                        "no answer to " + one.request.id + (excused ? " (excused), " : ", ")
                                + one.end());
            }
        }
        kit.say("requests " + tries.size() + ", without an answer " + lost);
        node.noteLog(10);
        if (lost * 1000 > 3 * tries.size()) {
            kit.say("BROKEN: more than 3 in 1,000 have no answer");
            return Kit.BROKEN;
        }
        kit.say("held");
        return Kit.HELD;
    }
}
