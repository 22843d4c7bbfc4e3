package lupinwood.fleet;

import lupinwood.node.Span;

/**
 * What the holder of the duty trial found at a server that others may have left out.
 *
 * @param server as the operator's file names it
 * @param token under which it was tried
 * @param age how long ago, when it was told
 */
public record Finding(String server, boolean well, Token token, Span age) {
    Finding aged(Span more) {
        return new Finding(server, well, token, age.plus(more));
    }
}
