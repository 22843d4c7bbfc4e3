package lupinwood.reload;

import lupinwood.node.Moment;

/**
 * What a look at the files of a configuration showed, without reading them.
 *
 * @param marks changes whenever one of the files was written to or replaced; compared, never read
 * @param changed when the latest of them says that it was written to last
 */
public record Look(String marks, Moment changed) {
    public static final Look NOTHING = new Look("", new Moment(0));
}
