//! The labels of a request: [`Labels`].

/// The names and values in the flag `P` of a request, as the client sent them. They are kept as one
/// text, since a line may have hundreds of short ones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Labels(String);

impl Labels {
    /// Parses labels of the form `name=value`, separated by commas. Returns `None` if one of them has
    /// another form.
    pub fn parse(list: &str) -> Option<Labels> {
        let is_label = |text: &str| text.split_once('=').is_some_and(|(name, _)| !name.is_empty());
        list.split(',').all(is_label).then(|| Labels(list.to_owned()))
    }

    /// Returns the names and values, in the order in which they were sent.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.split(',').filter_map(|text| text.split_once('='))
    }

    /// Returns the first value of this name.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.iter().find(|(label, _)| *label == name).map(|(_, value)| value)
    }
}
