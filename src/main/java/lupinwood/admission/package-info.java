/**
 * The decisions of one node, and the interfaces between them and the rest of the node.
 *
 * <p>Events come in through {@link lupinwood.admission.AdmissionPolicy} and {@link
 * lupinwood.admission.RequestListener}; decisions leave through {@link
 * lupinwood.admission.ServerActions}. {@link lupinwood.admission.AdmissionController} defines the
 * order of the checks, and each rule is a package-private class that documents its inputs, units,
 * formula and reason, and a source where the rule is taken from one. The package does no I/O and
 * has no threads and no clock: one thread owns all of it, and the time comes from {@link
 * lupinwood.admission.ServerActions#now()}.
 */
package lupinwood.admission;
