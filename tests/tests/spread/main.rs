//! Tests membership, load spreading and `locate` over real processes and broken links.

mod cuts;
mod instances;
mod locate;
mod system;
mod targets;
