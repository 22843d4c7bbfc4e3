package lupinwood.routes;

/** What a request shows of itself; a header that isn't there is null. */
public interface RequestMatchInput {
    String method();

    /** Without its query. */
    String path();

    String header(String smallName);
}
