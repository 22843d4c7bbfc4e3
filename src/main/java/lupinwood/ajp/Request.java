package lupinwood.ajp;

import java.util.Map;

/**
 * A request as a web server forwards it.
 *
 * @param remote the address of who asked the web server; null where it doesn't tell
 * @param headers by their names in small letters; of a header that comes twice the values, joined
 *     by commas
 * @param attributes what else the web server tells; nothing here chooses files, classes or
 *     privileges by them
 * @param secret what the web server shows to be let in, or null
 * @param contentLength -1 where it isn't told
 */
public record Request(
        String method,
        String uri,
        String remote,
        Map<String, String> headers,
        Map<String, String> attributes,
        String secret,
        long contentLength) {

    /** Null where it isn't there. */
    public String header(String name) {
        return headers.get(name);
    }
}
