/**
 * The simulator's wire: frames in, calls on a {@link lupinwood.node.Node}, its results out as
 * frames.
 */
package lupinwood.sim;
