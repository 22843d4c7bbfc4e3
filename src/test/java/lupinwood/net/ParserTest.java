package lupinwood.net;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

final class ParserTest {
    private interface Parse {
        Object next(ByteBuffer in) throws ProtocolException;
    }

    private static Parse resp() {
        RespParser parser = new RespParser();
        return in -> {
            List<byte[]> items = parser.next(in);
            return items == null ? null : items.stream().map(ParserTest::text).toList();
        };
    }

    private static Parse lines() {
        LineParser parser = new LineParser(words -> words[0].equals("BODY"));
        return in -> {
            LineParser.Message message = parser.next(in);
            return message == null
                    ? null
                    : String.join("|", message.words()) + ":" + text(message.body());
        };
    }

    private static Parse http() {
        return new HttpResponseParser()::next;
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    /** What is read when the bytes come in parts of this size. */
    private static String read(Parse parse, String bytes, int part) throws ProtocolException {
        byte[] all = bytes.getBytes(StandardCharsets.ISO_8859_1);
        List<Object> read = new ArrayList<>();
        for (int at = 0; at < all.length; at += part) {
            ByteBuffer in = ByteBuffer.wrap(all, at, Math.min(part, all.length - at));
            for (Object next = parse.next(in); next != null; next = parse.next(in)) {
                read.add(next);
            }
        }
        return read.stream().map(Object::toString).collect(Collectors.joining("\n"));
    }

    private static void readsHoweverSplit(Supplier<Parse> parser, String bytes, String expected)
            throws ProtocolException {
        for (int part = 1; part <= bytes.length(); part++) {
            assertThat(read(parser.get(), bytes, part))
                    .as("in parts of " + part)
                    .isEqualTo(expected);
        }
    }

    private static void refuses(Supplier<Parse> parser, String... all) {
        for (String bytes : all) {
            for (int part : new int[] {1, 99999}) {
                assertThatThrownBy(() -> read(parser.get(), bytes, part))
                        .as(bytes)
                        .isInstanceOf(ProtocolException.class);
            }
        }
    }

    @Test
    void respArraysAreReadHoweverTheyAreSplitAndPipelined() throws ProtocolException {
        readsHoweverSplit(
                ParserTest::resp,
                "*3\r\n$3\r\nREQ\r\n$1\r\n7\r\n$4\r\n\r\n\0\u00ff\r\n*1\r\n$0\r\n\r\n",
                "[REQ, 7, \r\n\0\u00ff]\n[]");
    }

    @Test
    void respThatCannotBeIsRefusedBeforeAnythingIsSetAside() {
        refuses(
                ParserTest::resp,
                "REQ 7\r\n",
                "*x\r\n",
                "*\r\n",
                "*0\r\n",
                "*-1\r\n",
                "*9\r\n",
                "*1\n",
                "*1\r$",
                "*1\r\n:1\r\n",
                "*1\r\n$-1\r\n",
                "*1\r\n$4097\r\n",
                "*1\r\n$99999999999999999999\r\n",
                "*1\r\n$1\r\nab\r\n",
                "*1\r\n$1\r\na\n");
    }

    @Test
    void linesAndTheirBodiesAreReadHoweverTheyAreSplit() throws ProtocolException {
        readsHoweverSplit(
                ParserTest::lines,
                "ONE two\r\nBODY 4\r\n\r\nxy\r\nBODY 0\r\n\r\nEND\r\n",
                "ONE|two:\nBODY|4:\r\nxy\nBODY|0:\nEND:");
    }

    @Test
    void linesThatCannotBeAreRefused() {
        refuses(
                ParserTest::lines,
                "a\nb",
                "a\rb",
                "BODY x\r\n",
                "BODY -1\r\n",
                "BODY 65537\r\n",
                "BODY 1\r\nab\r\n",
                "BODY 1\r\na\n",
                "x".repeat(5000));
    }

    @Test
    void httpRepliesAreReadHoweverTheyAreSplit() throws ProtocolException {
        readsHoweverSplit(
                ParserTest::http,
                """
                HTTP/1.1 204 No Content
                X: y

                HTTP/1.1 500 Oh
                Content-Length: 3

                abcHTTP/1.1 204 N
                Connection: close

                HTTP/1.1 404 N

                """
                        .replace("\n", "\r\n"),
                """
                HttpResponse[status=204, keepsOpen=true]
                HttpResponse[status=500, keepsOpen=true]
                HttpResponse[status=204, keepsOpen=false]
                HttpResponse[status=404, keepsOpen=false]""");
    }

    @Test
    void httpThatCannotBeIsRefused() {
        refuses(
                ParserTest::http,
                "HTTP/2 204\r\n\r\n",
                "junk\r\n\r\n",
                "HTTP/1.1 999 x\r\n\r\n",
                "HTTP/1.1 200 x\r\nno header\r\n\r\n",
                "HTTP/1.1 200 x\r\nContent-Length: 70000\r\n\r\n",
                "HTTP/1.1 200 x\r\nContent-Length: -1\r\n\r\n",
                "x".repeat(9000));
    }
}
