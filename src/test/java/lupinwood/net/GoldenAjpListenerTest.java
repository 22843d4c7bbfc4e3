package lupinwood.net;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lupinwood.admission.GoldenFile;
import lupinwood.admission.ScriptedPolicy;
import lupinwood.ajp.Replies;
import lupinwood.ajp.Requests;
import lupinwood.load.Loader;
import lupinwood.log.WallClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** What web servers hear from a node, and what a node says to servers that carry out requests. */
final class GoldenAjpListenerTest extends GoldenExchange {
    private static final String WHO = "web server";
    private static final int END_RESPONSE = 5;
    private static final int GET_BODY_CHUNK = 6;
    private static final int PONG = 9;
    private static final int PACKET = 8192;
    private static final String SECRET = "se cret";
    private static final byte[] BODY = "body".getBytes(ISO_8859_1);

    private Place serverPlace;
    private int ajpPort;

    @AfterEach
    void closeServer() throws Exception {
        if (serverPlace != null) {
            serverPlace.close();
        }
    }

    @Override
    NodeConfig config() throws Exception {
        serverPlace = new Place();
        try (Place free = new Place()) {
            ajpPort = free.socket.getLocalPort();
        }
        String text =
                GoldenFile.text("ajp/node.kdl")
                        .replace("LISTEN", "127.0.0.1:" + listen.getPort())
                        .replace("EXECUTOR", "127.0.0.1:" + executorPlace.socket.getLocalPort())
                        .replace("NAMING", "127.0.0.1:" + registryPlace.socket.getLocalPort())
                        .replace("AJP", "127.0.0.1:" + ajpPort)
                        .replace("SERVER", "127.0.0.1:" + serverPlace.socket.getLocalPort());
        Path file = Files.writeString(directory.resolve("node.kdl"), text);
        return new Loader(file, null).load().config();
    }

    private End webServer() throws Exception {
        return new End(new Socket(InetAddress.getLoopbackAddress(), ajpPort));
    }

    private static byte[] request(String method, String uri, int length, String... headers) {
        return request(SECRET, method, uri, length, headers);
    }

    private static byte[] request(
            String secret, String method, String uri, int length, String... headers) {
        Map<String, String> all = new LinkedHashMap<>();
        for (int i = 0; i < headers.length; i += 2) {
            all.put(headers[i], headers[i + 1]);
        }
        return Requests.forward(method, uri, all, length, secret);
    }

    private static byte[] body(byte[] body) {
        return Requests.part(body, 0, PACKET, PACKET);
    }

    /** All packets of an answer. */
    private void hearAnswer(String who, End end) throws Exception {
        for (int kind = hearPacket(who, end);
                kind != END_RESPONSE && kind != GET_BODY_CHUNK && kind != PONG && kind >= 0; ) {
            kind = hearPacket(who, end);
        }
    }

    private void ask(String title, byte[]... packets) throws Exception {
        title(title);
        End end = webServer();
        sayPackets(WHO, end, packets);
        hearAnswer(WHO, end);
        end.socket.close();
    }

    @Test
    void webServersHearTheSameBytes() throws Exception {
        begin();
        title("pinged, and run");
        End end = webServer();
        sayPackets(WHO, end, Requests.ping());
        hearPacket(WHO, end);
        sayPackets(WHO, end, request("POST", "/run/a?b", 4, "X-Customer", "acme"), body(BODY));
        runAndEnd(end, 1, "OK 5 4\r\ndone");
        title("run, and failed");
        sayPackets(WHO, end, request("POST", "/run/a", 0, "X-Customer", "acme"));
        runAndEnd(end, 2, "ERROR 5");
        title("run past its abandon time");
        sayPackets(WHO, end, request("POST", "/run/a", 0, "X-Customer", "acme"));
        untilHeard(5);
        WallClock.readFrom(() -> NOW.plusMillis(8500));
        runAndEnd(end, 3, "ERROR 5");
        WallClock.readFrom(() -> NOW);
        title("marked, and a repeat");
        sayPackets(WHO, end, request("PUT", "/pay", 0, "X-Mark", "Ab12"));
        runAndEnd(end, 4, "OK 5 4\r\npaid");
        sayPackets(WHO, end, request("PUT", "/pay", 0, "X-Mark", "Ab12"));
        hearAnswer(WHO, end);
        title("a body without a length");
        // The policy gets this request at any moment after it was sent, so what it got from the
        // requests before is taken first.
        untilHeard(10);
        List<String> heardBefore = List.copyOf(heard);
        sayPackets(
                WHO,
                end,
                request("POST", "/run/a", 0, "X-Customer", "acme", "Transfer-Encoding", "chunked"));
        heardBefore.forEach(line -> note("    node: " + line));
        GoldenFile.holds("ajp/front.txt", transcript());
    }

    private void runAndEnd(End end, int notice, String how) throws Exception {
        String line = executor.line();
        String[] words = line.split(" ", 0);
        note("executor < " + line);
        note("executor < " + GoldenFile.shown(executor.bytes(Integer.parseInt(words[3]) + 2)));
        say("executor", executor, "EXIT " + notice + " " + words[1] + " " + how + "\r\n");
        hearAnswer(WHO, end);
    }

    @Test
    void webServersHearTheSameOfWhatIsRejectedOrRefused() throws Exception {
        begin();
        ask("bounced", request("GET", "/bounce", 0));
        ask("bounced for a time", request("GET", "/bounce-for-a-time", 0));
        ask("bounced for good", request("GET", "/bounce-for-good", 0));
        ask("failed", request("GET", "/fail", 0));
        ask("no secret", request(null, "GET", "/bounce", 0));
        ask("a wrong secret", request("secret", "GET", "/bounce", 0));
        ask("no route", request("GET", "/gaze", 0));
        ask("another method", request("GET", "/run/a", 0, "X-Customer", "acme"));
        ask("no customer", request("POST", "/run/a", 0));
        ask("an unknown customer", request("POST", "/run/a", 0, "X-Customer", "nobody"));
        ask("no mark", request("GET", "/pay", 0));
        ask("a mark that is none", request("GET", "/pay", 0, "x-mark", "xyz"));
        ask("a mark where none belongs", request("GET", "/bounce", 0, "x-mark", "ab"));
        ask("a long body", request("GET", "/bounce", 2049), body(new byte[2049]));
        title("what can't be read");
        End end = webServer();
        sayPackets(WHO, end, HexFormat.of().parseHex("9999"));
        hearEnd(WHO, end);
        title("a second request before the first one's answer");
        End two = webServer();
        byte[] leased = request("GET", "/hold", 0);
        int before = logSize();
        sayPackets(WHO, two, leased, leased);
        untilMoreIsLogged(before);
        title("a node that leaves");
        End last = webServer();
        sayPackets(WHO, last, request("GET", "/hold", 0));
        untilHeard(6);
        leave();
        untilHeard(7);
        noteHeard();
        End after = webServer();
        sayPackets(WHO, after, request("GET", "/bounce", 0));
        hearAnswer(WHO, after);
        sayPackets(WHO, after, Requests.ping());
        hearAnswer(WHO, after);
        GoldenFile.holds("ajp/front-refused.txt", transcript());
    }

    @Test
    void serversThatCarryOutRequestsHearTheSameBytes() throws Exception {
        begin();
        End upstream = connect();
        title("a ticket with a body");
        sendRequest(upstream, 101, "body");
        End server = serverPlace.accept();
        hearPacket("server", server);
        hearPacket("server", server);
        answer(server, upstream, 200, "OK", "done", true);
        title("one without a body, failed");
        sendRequest(upstream, 102, "");
        hearPacket("server", server);
        answer(server, upstream, 500, "No", "oh", true);
        title("asked for more than there is");
        sendRequest(upstream, 103, "x");
        hearPacket("server", server);
        hearPacket("server", server);
        sayPackets("server", server, Replies.askBody(8186));
        hearPacket("server", server);
        answer(server, upstream, 204, "OK", "", true);
        title("after a rest");
        skip(0.6);
        sendRequest(upstream, 104, "");
        hearPacket("server", server);
        sayPackets("server", server, Replies.pong());
        hearPacket("server", server);
        answer(server, upstream, 200, "OK", "done", false);
        hearEnd("server", server);
        title("on a new connection, which is lost");
        sendRequest(upstream, 105, "");
        End next = serverPlace.accept();
        hearPacket("server", next);
        next.socket.close();
        hearArray("dispatcher", upstream);
        noteHeard();
        GoldenFile.holds("ajp/servers.txt", transcript());
    }

    private void sendRequest(End upstream, int tag, String body) throws Exception {
        String fields =
                String.format(
                        "req=%016x,ts=%d,via=1,owner=acme,need=%d,level=0.5",
                        tag, NOW_MS, ScriptedPolicy.REPORT_CAPACITY);
        say("dispatcher", upstream, array("REQ", "" + tag, "send", fields, body));
    }

    private void answer(
            End server, End upstream, int status, String reason, String body, boolean reuse)
            throws Exception {
        sayPackets(
                "server",
                server,
                Replies.answer(status, reason, Map.of(), body.getBytes(ISO_8859_1), PACKET, reuse));
        hearArray("dispatcher", upstream);
    }
}
