package lupinwood.ajp;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.nio.ByteBuffer;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import lupinwood.admission.GoldenFile;
import org.junit.jupiter.api.Test;

/** The bytes of AJP/1.3 as both sides write them, and what each makes of the other's. */
final class GoldenAjpTest {
    private static final int PACKET = 8192;
    private static final int MOST_BODY = 64;
    private static final byte[] BODY = "a body\r\n\0\u00ff".getBytes(ISO_8859_1);

    private final StringBuilder transcript = new StringBuilder();

    private void note(String what, String line) {
        transcript.append(what).append(": ").append(line).append('\n');
    }

    private void note(String what, byte[] bytes) {
        note(what, HexFormat.of().formatHex(bytes));
    }

    @Test
    void aWebServersSideWritesTheSameBytes() {
        for (String method : Codes.METHODS) {
            note(method, Requests.forward(method, "/", Map.of(), 0, null));
        }
        note("PATCH", Requests.forward("PATCH", "/", Map.of(), 0, null));
        note("get", Requests.forward("get", "/", Map.of(), 0, null));
        Map<String, String> headers = new LinkedHashMap<>();
        Codes.REQUEST_HEADERS.forEach(name -> headers.put(name, "v"));
        headers.put("X-Try", "0123456789abcdef");
        headers.put("X-Umlaut", "\u00e4\u20ac");
        note("headers", Requests.forward("POST", "/a?b=c", headers, 12, "se cret"));
        note("part", Requests.part(BODY, 0, 100, PACKET));
        note("part from 3 of 2", Requests.part(BODY, 3, 2, PACKET));
        note("part in a small packet", Requests.part(BODY, 0, 100, 10));
        note("end of the parts", Requests.part(BODY, BODY.length, 100, PACKET));
        note("ping", Requests.ping());
        GoldenFile.holds("ajp/web-server-writes.txt", transcript.toString());
    }

    @Test
    void aContainersSideWritesTheSameBytes() {
        Map<String, String> headers = new LinkedHashMap<>();
        Codes.RESPONSE_HEADERS.forEach(name -> headers.put(name, "v"));
        headers.put("X-Advice", "0.75");
        headers.put("Retry-After", "2");
        note("answer", Replies.answer(200, "OK", headers, BODY, PACKET, true));
        note("last answer", Replies.answer(503, "Service Unavailable", Map.of(), BODY, 12, false));
        note("empty answer", Replies.answer(404, "Not Found", Map.of(), new byte[0], PACKET, true));
        note("end", Replies.end(true));
        note("last end", Replies.end(false));
        note("more", Replies.askBody(8186));
        note("pong", Replies.pong());
        GoldenFile.holds("ajp/container-writes.txt", transcript.toString());
    }

    @Test
    void aContainersSideMakesTheSameOfRequests() {
        for (int method = 0; method <= Codes.METHODS.size() + 1; method++) {
            container("method " + method, request(method).one(0xFF).packet());
        }
        container("method stored", request(0xFF).one(0x0D).text("PATCH").one(0xFF).packet());
        container("method not stored", request(0xFF).one(0xFF).packet());
        for (int code = 0; code <= 0x0E; code++) {
            PacketWriter out = request(2).one(code);
            if (code == 0x0A) {
                out.text("AJP_X").text("1");
            } else if (code == 0x0B) {
                out.two(256);
            } else {
                out.text("value");
            }
            container("attribute " + code, out.one(0xFF).packet());
        }
        for (int code = 0xA000; code <= 0xA00F; code++) {
            container("header " + code, head(2, 1).two(code).text("v").one(0xFF).packet());
        }
        container(
                "headers twice",
                head(2, 3)
                        .text("A-Name")
                        .text("1")
                        .text("a-name")
                        .text("2")
                        .text("none")
                        .text(null)
                        .one(0xFF)
                        .packet());
        container("too many headers", head(2, 101).one(0xFF).packet());
        container("longer than itself", request(2).one(0xFF).one(1).packet());
        container("length that is none", head(4, 1).two(0xA008).text("1x").one(0xFF).packet());
        GoldenFile.holds("ajp/container-reads.txt", transcript.toString());
    }

    @Test
    void aContainersSideMakesTheSameOfBodies() {
        byte[] sized = Requests.forward("POST", "/x", Map.of(), BODY.length, null);
        container("body", sized, Requests.part(BODY, 0, 99, PACKET));
        container(
                "body in two parts",
                sized,
                Requests.part(BODY, 0, 4, PACKET),
                Requests.part(BODY, 4, 99, PACKET));
        container("body that ends early", sized, Requests.part(BODY, 0, 0, PACKET));
        container("body too long", sized, Requests.part(new byte[99], 0, 99, PACKET));
        byte[] unsized = head(4, 1).text("Transfer-Encoding").text("chunked").one(0xFF).packet();
        container(
                "body without a length",
                unsized,
                Requests.part(BODY, 0, 99, PACKET),
                Requests.part(BODY, 0, 0, PACKET));
        container(
                "body past the bound",
                unsized,
                Requests.part(new byte[65], 0, 99, PACKET),
                Requests.part(BODY, 0, 0, PACKET));
        container("ping", Requests.ping());
        for (String hex :
                new String[] {
                    "9999", "1234ffff", "12340000", "1234000107", "123400020263", "4142000109"
                }) {
            container("no packet", HexFormat.of().parseHex(hex));
        }
        GoldenFile.holds("ajp/container-reads-bodies.txt", transcript.toString());
    }

    @Test
    void aWebServersSideMakesTheSameOfAnswers() {
        for (int code = 0xA000; code <= 0xA00C; code++) {
            webServer(
                    "header " + code,
                    answerHead(1).two(code).text("v").packet(),
                    Replies.end(true));
        }
        webServer(
                "headers twice",
                answerHead(2).text("A-Name").text("1").text("a-name").text("2").packet(),
                Replies.end(false));
        webServer("answer", Replies.answer(200, "OK", Map.of(), BODY, 12, true));
        webServer("empty answer", Replies.answer(500, "", Map.of(), new byte[0], PACKET, true));
        webServer(
                "body past the bound",
                Replies.answer(200, "OK", Map.of(), new byte[65], PACKET, true));
        webServer("more", Replies.askBody(10));
        webServer("pong", Replies.pong());
        webServer("headers twice", answerHead(0).packet(), answerHead(0).packet());
        webServer("end before its begin", Replies.end(true));
        webServer("too many headers", answerHead(101).packet());
        for (String hex :
                new String[] {"1234", "4142000403000900", "4142000102", "41420000", "4142ffff"}) {
            webServer("no packet", HexFormat.of().parseHex(hex));
        }
        GoldenFile.holds("ajp/web-server-reads.txt", transcript.toString());
    }

    private static PacketWriter head(int method, int headers) {
        return new PacketWriter(Replies.FROM_WEB_SERVER)
                .one(2)
                .one(method)
                .text("HTTP/1.1")
                .text("/r?q")
                .text("10.1.2.3")
                .text(null)
                .text("s")
                .two(80)
                .one(0)
                .two(headers);
    }

    private static PacketWriter request(int method) {
        return head(method, 0);
    }

    private static PacketWriter answerHead(int headers) {
        return new PacketWriter(Replies.FROM_CONTAINER).one(4).two(200).text("OK").two(headers);
    }

    /** What a container's side makes of packets; what can't be read ends it. */
    private void container(String what, byte[]... packets) {
        FrontReader reader = new FrontReader(PACKET, MOST_BODY);
        for (byte[] packet : packets) {
            note(what + " >", packet);
            ByteBuffer in = ByteBuffer.wrap(packet);
            try {
                for (FrontReader.Event event = reader.next(in);
                        event != null;
                        event = reader.next(in)) {
                    note("    event", said(event));
                }
                note("    midway", Boolean.toString(reader.isMidway()));
            } catch (BadPacket e) {
                note("    unreadable", "true");
            }
        }
    }

    private static String said(FrontReader.Event event) {
        if (event instanceof FrontReader.More more) {
            return "more, " + more.most();
        }
        if (event instanceof FrontReader.Whole whole) {
            Request request = whole.request();
            return request.method()
                    + " "
                    + request.uri()
                    + " from "
                    + request.remote()
                    + " headers "
                    + new TreeMap<>(request.headers())
                    + " attributes "
                    + new TreeMap<>(request.attributes())
                    + " secret "
                    + request.secret()
                    + " length "
                    + request.contentLength()
                    + " body "
                    + (whole.body() == null ? "none" : GoldenFile.shown(whole.body()));
        }
        return "ping";
    }

    /** The same of a web server's side. */
    private void webServer(String what, byte[]... packets) {
        BackReader reader = new BackReader(PACKET, MOST_BODY);
        for (byte[] packet : packets) {
            note(what + " >", packet);
            ByteBuffer in = ByteBuffer.wrap(packet);
            try {
                for (BackReader.Event event = reader.next(in);
                        event != null;
                        event = reader.next(in)) {
                    note("    event", said(event));
                }
                note("    midway", Boolean.toString(reader.isMidway()));
            } catch (BadPacket e) {
                note("    unreadable", "true");
            }
        }
    }

    private static String said(BackReader.Event event) {
        if (event instanceof BackReader.More more) {
            return "more, " + more.most();
        }
        if (event instanceof BackReader.Answer answer) {
            return answer.status()
                    + " headers "
                    + new TreeMap<>(answer.headers())
                    + " body "
                    + (answer.body() == null ? "none" : GoldenFile.shown(answer.body()))
                    + " reuse "
                    + answer.reuse();
        }
        return "pong";
    }
}
