package lupinwood.ajp;

import java.util.List;
import java.util.Locale;

/** The numbers that AJP/1.3 has for messages, methods, headers and attributes. */
final class Codes {
    static final int FORWARD_REQUEST = 2;
    static final int SEND_BODY_CHUNK = 3;
    static final int SEND_HEADERS = 4;
    static final int END_RESPONSE = 5;
    static final int GET_BODY_CHUNK = 6;
    static final int PONG = 9;
    static final int PING = 10;

    static final int NAMED_ATTRIBUTE = 0x0A;
    static final int SSL_KEY_SIZE = 0x0B;
    static final int SECRET = 0x0C;
    static final int STORED_METHOD = 0x0D;
    static final int NO_MORE_ATTRIBUTES = 0xFF;

    /** The method stands in an attribute of its own. */
    static final int METHOD_STORED = 0xFF;

    static final int CODED = 0xA0;

    /** By number, from 1 on. */
    static final List<String> METHODS =
            List.of(
                    "OPTIONS",
                    "GET",
                    "HEAD",
                    "POST",
                    "PUT",
                    "DELETE",
                    "TRACE",
                    "PROPFIND",
                    "PROPPATCH",
                    "MKCOL",
                    "COPY",
                    "MOVE",
                    "LOCK",
                    "UNLOCK",
                    "ACL",
                    "REPORT",
                    "VERSION-CONTROL",
                    "CHECKIN",
                    "CHECKOUT",
                    "UNCHECKOUT",
                    "SEARCH",
                    "MKWORKSPACE",
                    "UPDATE",
                    "LABEL",
                    "MERGE",
                    "BASELINE-CONTROL",
                    "MKACTIVITY");

    /** By number, from 0xA001 on. */
    static final List<String> REQUEST_HEADERS =
            List.of(
                    "accept",
                    "accept-charset",
                    "accept-encoding",
                    "accept-language",
                    "authorization",
                    "connection",
                    "content-type",
                    "content-length",
                    "cookie",
                    "cookie2",
                    "host",
                    "pragma",
                    "referer",
                    "user-agent");

    static final List<String> RESPONSE_HEADERS =
            List.of(
                    "content-type",
                    "content-language",
                    "content-length",
                    "date",
                    "last-modified",
                    "location",
                    "set-cookie",
                    "set-cookie2",
                    "servlet-engine",
                    "status",
                    "www-authenticate");

    /** By number, from 1 on. */
    static final List<String> ATTRIBUTES =
            List.of(
                    "context",
                    "servlet_path",
                    "remote_user",
                    "auth_type",
                    "query_string",
                    "route",
                    "ssl_cert",
                    "ssl_cipher",
                    "ssl_session");

    private Codes() {}

    /** The code of a header, 0 where it has none. */
    static int of(List<String> coded, String header) {
        int place = coded.indexOf(header.toLowerCase(Locale.ROOT));
        return place < 0 ? 0 : (CODED << 8) + place + 1;
    }
}
