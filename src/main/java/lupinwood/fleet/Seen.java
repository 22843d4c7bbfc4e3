package lupinwood.fleet;

import lupinwood.node.Span;

/**
 * One node in the fleet's picture.
 *
 * @param heard how long ago it was heard; null where this leader never heard it
 * @param report null where it told none
 */
public record Seen(
        NodeName name, Life life, Site site, Standing standing, Span heard, Report report) {}
